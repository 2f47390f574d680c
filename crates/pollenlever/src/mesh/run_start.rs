use std::time::Duration;

use pollenlever_core::id::ContentDigest;
use pollenlever_core::mesh::{InstanceId, StartTime};

/// A run of an attempt that got a slot.
pub(super) struct RunStart {
    pub(super) instance: InstanceId,
    /// Start time of the target's process.
    pub(super) process_started: StartTime,
    pub(super) digest: ContentDigest,
    /// Start of the run on the node's clock.
    pub(super) at: Duration,
    /// Time from the start until the request's deadline.
    pub(super) time_left: Duration,
}
