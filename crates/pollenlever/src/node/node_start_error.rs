use std::net::SocketAddr;

use thiserror::Error;

use crate::control::ControlError;

/// Error while a node starts.
#[derive(Debug, Error)]
pub enum NodeStartError {
    /// A thread or its runtime cannot be started.
    #[error("cannot start thread {thread}: {source}")]
    Thread {
        /// Name of the thread.
        thread: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An address cannot be bound.
    #[error("cannot bind {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP server cannot start.
    #[error("cannot serve callers on {addr}: {reason}")]
    Entry {
        /// The address.
        addr: SocketAddr,
        /// Error of the HTTP server.
        reason: String,
    },
    /// The control threads cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The HTTP client for the target cannot be set up.
    #[error("cannot set up the HTTP client for the target: {0}")]
    Target(#[from] reqwest::Error),
}
