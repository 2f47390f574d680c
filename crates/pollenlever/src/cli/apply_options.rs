use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_APPLY_WAIT: Duration = Duration::from_secs(18);

/// Options of `pollenlever apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Path of the manifest.
    pub file: PathBuf,
    /// HTTP address of the platform's store.
    pub store: SocketAddr,
    /// Whether to overwrite services that another submission has updated first.
    pub overwrite: bool,
    /// Maximum wait until the change is in force on every node; `None` to skip the wait.
    pub max_wait: Option<Duration>,
}

impl ApplyOptions {
    /// Creates options for a manifest and a store, with defaults for the rest.
    pub fn new(file: PathBuf, store: SocketAddr) -> ApplyOptions {
        ApplyOptions { file, store, overwrite: false, max_wait: Some(DEFAULT_APPLY_WAIT) }
    }
}
