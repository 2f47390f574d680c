use std::time::Duration;

use bincode::{Decode, Encode};

use super::{Lineage, ProcessStatement, RequestId};
use crate::id::{AttemptId, ServiceName, WorkspaceName};

/// Head of an attempt (one try to have a request run), sent by the owner of the request to the gate
/// of a target.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct MeshAttempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Id that the caller gave to its request.
    pub request_id: RequestId,
    /// Service that should run the request.
    pub service: ServiceName,
    /// Service of the target beside the owner of the request.
    pub caller: ServiceName,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// HTTP headers for the target.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Position of the request in its chain of calls.
    pub lineage: Lineage,
    /// Workspace on whose behalf the chain of calls runs; `None` if it is not known.
    pub workspace: Option<WorkspaceName>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time left until the deadline of the caller or the route.
    pub time_left: Duration,
    /// Maximum time that the request may wait in the gate's queue.
    pub max_wait: Duration,
    /// What the target stated last in an answer that the owner passed on, if anything.
    pub remembered: Option<ProcessStatement>,
}
