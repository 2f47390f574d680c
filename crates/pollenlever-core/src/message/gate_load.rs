use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;

/// Load of a gate, carried on each of its replies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct GateLoad {
    /// Requests that the target runs now.
    pub in_flight: u32,
    /// Requests that wait at the gate.
    pub queued: u32,
    /// Requests that the gate lets run at once.
    pub limit: u32,
    /// Requests below this importance are shed at once.
    pub shed_below: Importance,
    /// Time in which the backlog drains.
    pub backlog: Duration,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Crashes of targets that the gate counts against the request of this reply.
    pub crashes: u32,
    /// Lately rejected or failed runs of the target, in thousandths.
    pub failing_permille: u16,
    /// Calls of the target that lately failed because services further down are overloaded, in
    /// thousandths of its calls.
    pub strained_permille: u16,
    /// Calls that a run makes on average, those beneath them included, in hundredths.
    pub calls_percent: u16,
}
