use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_WAIT: Duration = Duration::from_secs(18);

/// Options of `pollenlever apply`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// The manifest.
    pub file: PathBuf,
    /// HTTP address of the platform's store.
    pub store: SocketAddr,
    /// Whether to put the manifest over submissions of others that come first.
    pub overwrite: bool,
    /// Longest wait until the change is in force; `None` for no wait.
    pub wait: Option<Duration>,
}

impl ApplyOptions {
    /// Options for a manifest and a store, with defaults for the rest.
    pub fn new(file: PathBuf, store: SocketAddr) -> ApplyOptions {
        ApplyOptions { file, store, overwrite: false, wait: Some(DEFAULT_WAIT) }
    }
}
