use std::future::Future;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use super::NodeStartError;
use super::spawn_thread::spawn_thread;

/// A thread with a single-threaded async runtime. The tasks of one role (entry, peer or target)
/// share it, so that none of them has to wake another thread.
#[derive(Debug)]
pub(super) struct NetworkThread {
    handle: Handle,
    /// Stops the thread and its tasks when dropped.
    _stop: oneshot::Sender<()>,
}

impl NetworkThread {
    /// Starts the thread without tasks.
    pub(super) fn start(name: &'static str) -> Result<NetworkThread, NodeStartError> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|source| NodeStartError::Thread { thread: name, source })?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        spawn_thread(name, move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        })?;
        Ok(NetworkThread { handle, _stop: stop })
    }

    /// Starts a task on the thread.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }

    /// Handle with which other threads start tasks on this one.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }
}
