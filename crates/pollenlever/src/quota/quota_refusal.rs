use std::time::Duration;

use pollenlever_core::answer::ErrorKind;

/// Refusal of a request that got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRefusal {
    /// [`ErrorKind::WorkspaceLimit`] or [`ErrorKind::QuotaUnavailable`].
    pub(crate) error: ErrorKind,
    /// Time after which the caller may come back.
    pub(crate) retry_after: Duration,
}
