use thiserror::Error;

use crate::store::StoreError;

/// The control threads could not be started.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No thread or runtime could be had.
    #[error("cannot start a control thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The client of the store cannot be set up.
    #[error("cannot set up the client of the store: {0}")]
    Store(#[from] StoreError),
}
