use std::thread::{self, JoinHandle};

use tokio::runtime::{Builder, Runtime};

use super::NodeError;

/// Starts a thread with a name.
pub(super) fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, NodeError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(work);
    thread.map_err(|source| NodeError::Thread { thread: name, source })
}

/// Makes the runtime of a thread that does network work.
pub(super) fn runtime(name: &'static str, workers: usize) -> Result<Runtime, NodeError> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(workers).thread_name(name).enable_all();
    builder.build().map_err(|source| NodeError::Thread { thread: name, source })
}
