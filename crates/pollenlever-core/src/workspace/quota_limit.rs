use bincode::{Decode, Encode};

/// Limit for the requests that a workspace sends through all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct QuotaLimit {
    /// Sustained rate, in requests per second.
    pub rate_per_s: f64,
    /// Number of requests that may follow a pause at once.
    pub burst: f64,
}

impl Default for QuotaLimit {
    fn default() -> QuotaLimit {
        QuotaLimit { rate_per_s: 100.0, burst: 100.0 }
    }
}
