use std::io;
use std::path::PathBuf;

use thiserror::Error;

use super::ini::Faults;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings {}: {source}; check the path and its permissions", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid UTF-8, or its contents are invalid.
    #[error("{0}")]
    Invalid(Faults),
}
