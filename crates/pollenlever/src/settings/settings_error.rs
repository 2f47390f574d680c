use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::ini::Faults;

/// Why a node cannot take its settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings {}: {source}; check the path and its permissions", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read and is wrong.
    #[error("{0}")]
    Invalid(Faults),
}
