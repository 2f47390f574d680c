use serde::Serialize;

/// JSON body of an error answer that the node itself makes.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody {
    /// Name of the error kind, as in the `pollenlever-error` header.
    pub(super) error: &'static str,
    /// What went wrong and what the caller can do.
    pub(super) message: &'static str,
    /// Whether the request ran, as in the `pollenlever-outcome` header.
    pub(super) outcome: &'static str,
    /// Time after which the caller may retry; `None` if the node gives no time.
    pub(super) retry_after_ms: Option<u64>,
}
