use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::state::State;

/// State behind a lock, with a notification for waiting watches.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Shared {
    pub(crate) fn new() -> Shared {
        Shared { state: Mutex::default(), changed: watch::channel(0).0 }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiting watches, which then look at the state again.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|it| *it += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
