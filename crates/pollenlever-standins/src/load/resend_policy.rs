use std::time::Duration;

/// How a caller resends a failed request before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResendPolicy {
    /// Maximum number of resends of a request.
    pub max_resends: u32,
    /// Delay before a resend when the answer's retry-after is missing or ignored.
    pub default_delay: Duration,
    /// Whether the caller waits for the answer's retry-after time.
    pub honors_retry_after: bool,
    /// Whether a resend carries the chain id, by which nodes limit retries, from the latest answer
    /// that had one.
    pub sends_chain_id: bool,
}

impl Default for ResendPolicy {
    fn default() -> ResendPolicy {
        ResendPolicy {
            max_resends: 3,
            default_delay: Duration::from_millis(50),
            honors_retry_after: false,
            sends_chain_id: true,
        }
    }
}
