use super::Outcome;

/// Whether and when a caller may send its request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Retrying the same request does not help.
    Never,
    /// Another node or a new connection may accept the request at once.
    Now,
    /// Retry after the time in which the backlog drains.
    AfterBacklog,
}

/// Parts of the answer for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Whether and when to retry.
    pub retry_advice: RetryAdvice,
    /// Text for the caller: what is wrong and what to do.
    pub message: &'static str,
}
