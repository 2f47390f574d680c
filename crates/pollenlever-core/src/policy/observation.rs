use std::time::Duration;

use crate::answer::ErrorKind;
use crate::id::{KindName, ServiceName, WorkspaceName};

/// An ended call, as recorded by its entry (the node that received it from the caller) for metrics
/// and the burn report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Service that was called.
    pub service: ServiceName,
    /// Kind of request.
    pub kind: KindName,
    /// Workspace on whose behalf the call was made.
    pub workspace: WorkspaceName,
    /// HTTP status of the answer.
    pub status: u16,
    /// Reason for which no target answered; `None` if one did.
    pub error: Option<ErrorKind>,
    /// Time from the arrival of the call to its answer.
    pub latency: Duration,
    /// Whether the call counts as good for its objective: a complete answer within the deadline.
    pub is_good: bool,
}
