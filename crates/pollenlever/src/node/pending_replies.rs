use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Replies that tasks wait for, each under a number of its own.
///
/// ```
/// let pending_replies = pollenlever::node::PendingReplies::default();
/// let (id, mut rx) = pending_replies.register();
/// assert!(pending_replies.complete(id, 7));
/// assert_eq!(rx.try_recv(), Ok(7));
/// assert!(!pending_replies.complete(id, 8));
/// ```
#[derive(Debug)]
pub struct PendingReplies<T> {
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> PendingReplies<T> {
    /// Registers a waiting task. Returns its number and the receiver of its reply.
    pub fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.next_id();
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        (id, rx)
    }

    /// Returns a new number without registering a waiting task.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends the reply to the task under `id`. Returns whether it still waited.
    pub fn complete(&self, id: u64, reply: T) -> bool {
        let sender = self.lock().remove(&id);
        sender.is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Removes the task under `id`, so that its receiver fails. Returns whether it still waited.
    pub fn remove(&self, id: u64) -> bool {
        self.lock().remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Default for PendingReplies<T> {
    fn default() -> PendingReplies<T> {
        PendingReplies { next_id: AtomicU64::new(1), pending: Mutex::default() }
    }
}
