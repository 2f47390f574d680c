use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::settings::ini::Faults;

/// Why a manifest is refused; nothing of a refused manifest is applied.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The file cannot be read.
    #[error("cannot read the manifest {}: {source}; check the path and its permissions", path.display())]
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
