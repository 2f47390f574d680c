use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::relay::RelayError;

/// A deployment that could not be started or driven.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A program of the workspace is missing.
    #[error("{} is missing; build it with `cargo build --workspace`", .0.display())]
    MissingProgram(PathBuf),
    /// A process could not be started or signalled.
    #[error("cannot {what}: {source}")]
    Process {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The relay could not start.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// A request to a process of the deployment failed.
    #[error("cannot {what}: {reason}")]
    Request {
        /// What was tried.
        what: String,
        /// Why it failed.
        reason: String,
    },
    /// Something did not happen in time.
    #[error("{what} did not happen within {} ms; logs are in {}", .within.as_millis(), .logs.display())]
    Timeout {
        /// What was waited for.
        what: String,
        /// For how long.
        within: Duration,
        /// Folder of the logs.
        logs: PathBuf,
    },
}

impl ClusterError {
    pub(super) fn process(what: impl Into<String>, source: std::io::Error) -> ClusterError {
        ClusterError::Process { what: what.into(), source }
    }

    pub(super) fn request(what: impl Into<String>, reason: impl ToString) -> ClusterError {
        ClusterError::Request { what: what.into(), reason: reason.to_string() }
    }
}
