use std::time::Duration;

use bincode::{Decode, Encode};

/// Service-level objective of a kind of request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Objective {
    /// Fraction of requests that must be good, between 0 and 1.
    pub good_ratio: f64,
    /// Window over which the fraction is measured.
    pub window: Duration,
}

impl Default for Objective {
    fn default() -> Objective {
        Objective { good_ratio: 0.999, window: Duration::from_secs(30 * 24 * 3600) }
    }
}
