use std::time::Duration;

/// How a caller sends a failed request again until its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResendPolicy {
    /// Resends at most.
    pub max_resends: u32,
    /// Wait before a resend that was not told when to come back.
    pub wait: Duration,
    /// Whether the caller waits as long as the answer asks.
    pub obeys_retry_after: bool,
    /// Whether a resend names the chain of the first answer.
    pub names_chain: bool,
}

impl Default for ResendPolicy {
    fn default() -> ResendPolicy {
        ResendPolicy {
            max_resends: 3,
            wait: Duration::from_millis(50),
            obeys_retry_after: false,
            names_chain: true,
        }
    }
}
