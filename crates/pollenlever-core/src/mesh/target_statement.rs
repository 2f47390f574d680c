use bincode::{Decode, Encode};

use super::{InstanceId, StartTime};

/// A rate of requests, per second.
pub type RequestsPerSecond = f64;

/// What a target states about itself in the headers of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Encode, Decode)]
pub struct TargetStatement {
    /// The most requests that the target takes from all nodes together; `None` if it states none.
    pub rate_limit: Option<RequestsPerSecond>,
    /// Whether it is shutting down and takes no new requests.
    pub is_leaving: bool,
}

impl TargetStatement {
    /// What holds if either statement may be the latest: the lower rate limit, and that the target
    /// leaves.
    pub(super) fn strictest(self, other: TargetStatement) -> TargetStatement {
        let limits = self.rate_limit.into_iter().chain(other.rate_limit);
        TargetStatement {
            rate_limit: limits.reduce(f64::min),
            is_leaving: self.is_leaving || other.is_leaving,
        }
    }
}

/// A statement and the process of the target that made it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ProcessStatement {
    /// Instance of the target.
    pub instance: InstanceId,
    /// Start time of its process.
    pub started: StartTime,
    /// What it states.
    pub statement: TargetStatement,
}

impl ProcessStatement {
    /// Whether the statement is of this process of the target.
    pub fn is_of(&self, instance: &InstanceId, started: StartTime) -> bool {
        self.instance == *instance && self.started == started
    }
}
