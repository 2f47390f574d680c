use std::collections::BTreeMap;
use std::time::Duration;

use super::Arrival;

/// What became of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The request.
    pub arrival: Arrival,
    /// Time from its arrival to its end.
    pub latency: Duration,
    /// Whether the whole answer to it came within the deadline.
    pub good: bool,
    /// Times that it was sent.
    pub sends: u32,
    /// Answers by reason: error kind, else status, else failure of the connection.
    pub answers: BTreeMap<String, u32>,
}
