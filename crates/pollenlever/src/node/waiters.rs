use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Tasks that wait for a reply under a local number.
///
/// ```
/// let waiters = pollenlever::node::Waiters::default();
/// let (id, mut rx) = waiters.register();
/// assert!(waiters.complete(id, 7));
/// assert_eq!(rx.try_recv(), Ok(7));
/// assert!(!waiters.complete(id, 8));
/// ```
#[derive(Debug)]
pub struct Waiters<T> {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Waiters<T> {
    /// Draws a number and the reply to come.
    pub fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.draw();
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        (id, rx)
    }

    /// Draws a number that no waiter has.
    pub fn draw(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands over the reply. Returns whether somebody still waited for it.
    pub fn complete(&self, id: u64, reply: T) -> bool {
        let waiter = self.lock().remove(&id);
        waiter.is_some_and(|tx| tx.send(reply).is_ok())
    }

    /// Drops a waiter. Returns whether it still waited.
    pub fn forget(&self, id: u64) -> bool {
        self.lock().remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Default for Waiters<T> {
    fn default() -> Waiters<T> {
        Waiters { next: AtomicU64::new(1), waiting: Mutex::default() }
    }
}
