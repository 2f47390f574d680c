use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use thiserror::Error;

/// The ring is full or its reader is gone; the item was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the ring is full; the node is overloaded")]
pub struct RingFull;

/// Writing end of a bounded ring.
#[derive(Debug)]
pub struct Ring<T> {
    tx: Sender<T>,
}

impl<T> Ring<T> {
    /// Puts an item into the ring without waiting.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if there is no room.
    pub fn push(&self, item: T) -> Result<(), RingFull> {
        match self.tx.try_send(item) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(RingFull),
        }
    }

    /// Puts an item into the ring without waiting and gives it back if there is no room.
    ///
    /// # Errors
    ///
    /// The item if the ring is full, `None` if the reader is gone.
    pub fn try_push(&self, item: T) -> Result<(), Option<T>> {
        self.tx.try_send(item).map_err(|err| match err {
            TrySendError::Full(item) => Some(item),
            TrySendError::Disconnected(_) => None,
        })
    }

    /// Puts an item into the ring, waiting for room. For events that must not be lost, from
    /// threads that may block.
    ///
    /// # Errors
    ///
    /// [`RingFull`] if the reader is gone.
    pub fn push_wait(&self, item: T) -> Result<(), RingFull> {
        self.tx.send(item).map_err(|_| RingFull)
    }
}

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Ring<T> {
        Ring { tx: self.tx.clone() }
    }
}

/// Makes a ring of `capacity` items.
///
/// ```
/// let (ring, rx) = pollenlever::ring::ring(1);
/// assert_eq!(ring.push(7), Ok(()));
/// assert_eq!(ring.push(8), Err(pollenlever::ring::RingFull));
/// assert_eq!(rx.recv(), Ok(7));
/// ```
pub fn ring<T>(capacity: usize) -> (Ring<T>, Receiver<T>) {
    let (tx, rx) = bounded(capacity);
    (Ring { tx }, rx)
}
