use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::settings::ini::Faults;

/// Why a manifest is rejected. No part of a rejected manifest is applied.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The file cannot be read.
    #[error("cannot read the manifest {}: {source}; check the path and its permissions", path.display())]
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
