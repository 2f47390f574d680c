use std::time::Duration;

use super::TokenPermit;
use crate::answer::ErrorKind;

/// What to do with a request of a workspace that has a quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeResult {
    /// The request may run.
    Taken(TokenPermit),
    /// The request waits for the reply to a token request, see [`super::TokenStore::request`].
    Ask,
    /// The request is refused without having run.
    Refused {
        /// [`ErrorKind::WorkspaceLimit`] or [`ErrorKind::QuotaUnavailable`].
        error: ErrorKind,
        /// Time after which the caller may send it again.
        retry_after: Duration,
    },
}
