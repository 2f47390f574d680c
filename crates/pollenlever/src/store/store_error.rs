use thiserror::Error;

use super::{Object, Revision};

/// A call to the store that did not succeed.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum StoreError {
    /// The version differs from the expected one; nothing was written.
    #[error("the object has version {}", .0.version)]
    Conflict(Object),
    /// The value is over the store's limit; nothing was written.
    #[error("the value is over the store's limit")]
    TooLarge,
    /// The rate limit refused the call; nothing was written.
    #[error("the store's rate limit refused the call")]
    Limited,
    /// The store could not be reached or was down; nothing was written.
    #[error("the store is not available: {0}")]
    Unavailable(String),
    /// The call may have taken effect and its answer was lost.
    #[error("the store's answer was lost: {0}")]
    Lost(String),
    /// The store no longer holds the history that a watch asks for; nothing was read.
    #[error("the store's history does not reach back that far; list the objects again")]
    HistoryGone,
    /// The store answered in a form that this client does not know.
    #[error("unexpected answer of the store: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Version of the object that the store holds, if the error tells.
    pub fn current_version(&self) -> Option<Revision> {
        match self {
            StoreError::Conflict(object) => Some(object.version),
            _ => None,
        }
    }
}
