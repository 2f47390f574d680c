use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use super::{Node, NodeStartError};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// [`NodeStartError`] if the node's HTTP server fails first.
pub fn wait_for_signal(node: &Node) -> Result<(), NodeStartError> {
    let thread_error = |source| NodeStartError::Thread { thread: "signals", source };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(thread_error)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(thread_error)?;
        tokio::select! {
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
            failure = node.entry_failure() => Err(failure),
        }
    })
}
