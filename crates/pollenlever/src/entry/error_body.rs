use serde::Serialize;

/// JSON body of an answer that does not come from a target.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody {
    /// Name of the error kind.
    pub(super) error: &'static str,
    /// What to do.
    pub(super) message: &'static str,
    /// What is known about the request.
    pub(super) outcome: &'static str,
    /// Time after which the caller may come back.
    pub(super) retry_after_ms: Option<u64>,
}
