use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvError, RecvTimeoutError, TryRecvError};

/// Reading end of a bounded ring, for one thread.
///
/// A thread that waits is parked at once. The channel's own wait yields the processor several times
/// first, which costs a time slice each where other threads are ready to run.
#[derive(Debug)]
pub struct Reader<T> {
    pub(super) rx: Receiver<T>,
    pub(super) waiter: Arc<OnceLock<Thread>>,
}

impl<T> Reader<T> {
    /// Takes an item without waiting.
    ///
    /// # Errors
    ///
    /// [`TryRecvError`] if the ring is empty.
    pub fn try_recv(&self) -> Result<T, TryRecvError> {
        self.rx.try_recv()
    }

    /// Waits for an item.
    ///
    /// # Errors
    ///
    /// [`RecvError`] if the ring is empty and all its writers are gone.
    pub fn recv(&self) -> Result<T, RecvError> {
        if !self.is_waiter() {
            return self.rx.recv();
        }
        loop {
            match self.rx.try_recv() {
                Ok(item) => return Ok(item),
                Err(TryRecvError::Disconnected) => return Err(RecvError),
                Err(TryRecvError::Empty) => thread::park(),
            }
        }
    }

    /// Waits for an item, at most for `timeout`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (ring, reader) = pollenlever::ring::ring::<u32>(1);
    /// assert!(reader.recv_timeout(Duration::from_millis(1)).is_err());
    /// ring.push(7).unwrap();
    /// assert_eq!(reader.recv_timeout(Duration::from_millis(1)), Ok(7));
    /// ```
    ///
    /// # Errors
    ///
    /// [`RecvTimeoutError`] if no item came in time or all writers are gone.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<T, RecvTimeoutError> {
        if !self.is_waiter() {
            return self.rx.recv_timeout(timeout);
        }
        let deadline = Instant::now() + timeout;
        loop {
            match self.rx.try_recv() {
                Ok(item) => return Ok(item),
                Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
                Err(TryRecvError::Empty) => {}
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(RecvTimeoutError::Timeout);
            }
            thread::park_timeout(left);
        }
    }

    /// Whether writers wake this thread. The first thread that waits is the one; a reader that
    /// moves to another thread afterwards waits as the channel does.
    fn is_waiter(&self) -> bool {
        self.waiter.get_or_init(thread::current).id() == thread::current().id()
    }
}
