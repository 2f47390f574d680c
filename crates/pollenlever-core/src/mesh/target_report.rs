use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;

/// Name that a target draws for itself; mostly a new one at each start.
pub type InstanceId = Arc<str>;
/// Start of a target's process, in milliseconds of Unix time.
pub type StartTime = u64;

/// What a target says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// The target.
    pub instance: InstanceId,
    /// Start of its process.
    pub started: StartTime,
    /// Number of the report; grows with each report of one process.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and wants no new work.
    pub is_draining: bool,
    /// Time for which it will still be slow after its start.
    pub cold_for: Duration,
}
