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
    /// The error that a status other than success says, if it carries no object.
    ///
    /// ```
    /// use pollenlever::store::StoreError;
    /// assert_eq!(StoreError::from_status(429), StoreError::Limited);
    /// assert!(matches!(StoreError::from_status(500), StoreError::Lost(_)));
    /// ```
    pub fn from_status(status: u16) -> StoreError {
        match status {
            410 => StoreError::HistoryGone,
            413 => StoreError::TooLarge,
            429 => StoreError::Limited,
            503 => StoreError::Unavailable(format!("status {status}")),
            500.. => StoreError::Lost(format!("status {status}")),
            _ => StoreError::Malformed(format!("status {status}")),
        }
    }

    /// The error of a call that got no answer.
    pub fn from_failed_call(err: &reqwest::Error) -> StoreError {
        if err.is_connect() {
            StoreError::Unavailable(err.to_string())
        } else {
            StoreError::Lost(err.to_string())
        }
    }

    /// Version of the object that the store holds, if the error tells.
    pub fn current_version(&self) -> Option<Revision> {
        match self {
            StoreError::Conflict(object) => Some(object.version),
            _ => None,
        }
    }
}
