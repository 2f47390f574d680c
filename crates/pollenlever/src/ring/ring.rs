use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use thiserror::Error;

/// The ring is full or its reader was dropped; the item was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the ring is full; the node is overloaded")]
pub struct RingFull;

/// Writing end of a ring, a bounded first-in first-out queue between threads. Clones write to the
/// same queue.
#[derive(Debug)]
pub struct RingSender<T> {
    tx: Sender<T>,
}

impl<T> RingSender<T> {
    /// Queues an item without waiting.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if the ring is full or its reader was dropped.
    pub fn push(&self, item: T) -> Result<(), RingFull> {
        match self.tx.try_send(item) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(RingFull),
        }
    }

    /// Queues an item without waiting and returns the item if the ring is full.
    ///
    /// # Errors
    ///
    /// The item if the ring is full, `None` if the reader was dropped.
    pub fn try_push(&self, item: T) -> Result<(), Option<T>> {
        self.tx.try_send(item).map_err(|err| match err {
            TrySendError::Full(item) => Some(item),
            TrySendError::Disconnected(_) => None,
        })
    }

    /// Queues an item and blocks the thread while the ring is full. Meant for events that must not
    /// be lost, in threads that may block.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if the reader was dropped.
    pub fn push_blocking(&self, item: T) -> Result<(), RingFull> {
        self.tx.send(item).map_err(|_| RingFull)
    }
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> RingSender<T> {
        RingSender { tx: self.tx.clone() }
    }
}

/// Creates a ring of `capacity` items and returns its writing and reading ends.
///
/// ```
/// let (ring, rx) = pollenlever::ring::ring(1);
/// assert_eq!(ring.push(7), Ok(()));
/// assert_eq!(ring.push(8), Err(pollenlever::ring::RingFull));
/// assert_eq!(rx.recv(), Ok(7));
/// ```
pub fn ring<T>(capacity: usize) -> (RingSender<T>, Receiver<T>) {
    let (tx, rx) = bounded(capacity);
    (RingSender { tx }, rx)
}
