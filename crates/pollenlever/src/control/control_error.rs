use thiserror::Error;

use crate::store::StoreError;

/// Why the control threads could not be started.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A thread or its runtime could not be created.
    #[error("cannot start a control thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The store client cannot be set up.
    #[error("cannot set up the store client: {0}")]
    Store(#[from] StoreError),
}
