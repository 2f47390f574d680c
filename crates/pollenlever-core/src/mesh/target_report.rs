use std::sync::Arc;
use std::time::Duration;

use crate::id::ServiceName;

/// Name that a target chooses for itself, usually a new one at each start.
pub type InstanceId = Arc<str>;
/// Start time of a target's process, in milliseconds since the Unix epoch.
pub type StartTime = u64;

/// Report of a target (the server process beside a node) about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Name of the target.
    pub instance: InstanceId,
    /// Start time of its process.
    pub started: StartTime,
    /// Sequence number of the report; increases with each report of the same process.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is about to stop and takes no new requests.
    pub is_draining: bool,
    /// Remaining time of its cold start, during which it is slower; zero once it is warm.
    pub cold_remaining: Duration,
}
