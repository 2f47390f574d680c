use std::collections::BTreeMap;
use std::time::Duration;

use super::Arrival;

/// Result of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The request.
    pub arrival: Arrival,
    /// Time from arrival until the caller got a complete answer or gave up.
    pub latency: Duration,
    /// Whether its complete answer arrived within the deadline.
    pub good: bool,
    /// Number of times it was sent, the first included.
    pub sends: u32,
    /// Number of answers by reason: the error kind, the HTTP status if there is none, or `connect`,
    /// `broken` or `timeout` if no answer arrived.
    pub answers_by_reason: BTreeMap<String, u32>,
}
