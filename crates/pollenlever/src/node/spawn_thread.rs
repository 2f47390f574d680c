use std::thread;

use super::NodeStartError;

/// Starts a detached thread with a name.
pub(super) fn spawn_thread(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<(), NodeStartError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(work);
    thread.map(drop).map_err(|source| NodeStartError::Thread { thread: name, source })
}
