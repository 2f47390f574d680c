use std::io;
use std::sync::Arc;

/// Is told what is read from a socket.
pub(crate) trait ReadObserver: Send + Sync {
    /// Handles a read; `bytes` is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// An error that the reader gets in place of the bytes.
    fn record_read(&self, bytes: usize) -> io::Result<()>;
}

/// Shared [`ReadObserver`].
pub(crate) type SharedReadObserver = Arc<dyn ReadObserver>;
