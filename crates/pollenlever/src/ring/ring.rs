use std::sync::{Arc, OnceLock};
use std::thread::Thread;

use crossbeam_channel::{Sender, TrySendError, bounded};
use thiserror::Error;

use super::Reader;

/// The ring is full or its reader is gone; the item was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the ring is full; the node is overloaded")]
pub struct RingFull;

/// Writing end of a bounded ring.
#[derive(Debug)]
pub struct Ring<T> {
    /// Present until the drop.
    tx: Option<Sender<T>>,
    waiter: Arc<OnceLock<Thread>>,
}

impl<T> Ring<T> {
    /// Puts an item into the ring without waiting.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if there is no room.
    pub fn push(&self, item: T) -> Result<(), RingFull> {
        self.try_push(item).map_err(|_| RingFull)
    }

    /// Puts an item into the ring without waiting and gives it back if there is no room.
    ///
    /// # Errors
    ///
    /// The item if the ring is full, `None` if the reader is gone.
    pub fn try_push(&self, item: T) -> Result<(), Option<T>> {
        let Some(tx) = &self.tx else { return Err(None) };
        tx.try_send(item).map_err(|err| match err {
            TrySendError::Full(item) => Some(item),
            TrySendError::Disconnected(_) => None,
        })?;
        self.wake();
        Ok(())
    }

    /// Puts an item into the ring, waiting for room. For events that must not be lost, from
    /// threads that may block.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if the reader is gone.
    pub fn push_wait(&self, item: T) -> Result<(), RingFull> {
        let tx = self.tx.as_ref().ok_or(RingFull)?;
        tx.send(item).map_err(|_| RingFull)?;
        self.wake();
        Ok(())
    }

    fn wake(&self) {
        if let Some(waiter) = self.waiter.get() {
            waiter.unpark();
        }
    }
}

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Ring<T> {
        Ring { tx: self.tx.clone(), waiter: Arc::clone(&self.waiter) }
    }
}

impl<T> Drop for Ring<T> {
    fn drop(&mut self) {
        drop(self.tx.take()); // before the wake, so that the reader sees that the writer is gone
        self.wake();
    }
}

/// Makes a ring of `capacity` items.
///
/// ```
/// let (ring, reader) = pollenlever::ring::ring(1);
/// assert_eq!(ring.push(7), Ok(()));
/// assert_eq!(ring.push(8), Err(pollenlever::ring::RingFull));
/// assert_eq!(reader.recv(), Ok(7));
/// ```
pub fn ring<T>(capacity: usize) -> (Ring<T>, Reader<T>) {
    let (tx, rx) = bounded(capacity);
    let waiter = Arc::new(OnceLock::new());
    (Ring { tx: Some(tx), waiter: Arc::clone(&waiter) }, Reader { rx, waiter })
}
