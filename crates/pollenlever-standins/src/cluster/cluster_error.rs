use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::relay::RelayError;

/// Why a deployment could not be started or controlled.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A program of the workspace is missing.
    #[error("{} is missing; build it with `cargo build --workspace`", .0.display())]
    MissingProgram(PathBuf),
    /// A process could not be started or signalled, or one of its files could not be accessed.
    #[error("cannot {what}: {source}")]
    Process {
        /// The operation, as a verb phrase such as `start pollenleverd`.
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
        /// The operation, as a verb phrase such as `set faults`.
        what: String,
        /// Why it failed.
        reason: String,
    },
    /// A condition was not met in time.
    #[error("{what} did not happen within {} ms; logs are in {}", .within.as_millis(), .logs.display())]
    Timeout {
        /// The condition, as a noun phrase such as `start of the store`.
        what: String,
        /// How long it was waited for.
        within: Duration,
        /// Folder with the logs of all processes.
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
