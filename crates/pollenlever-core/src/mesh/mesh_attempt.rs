use std::time::Duration;

use bincode::{Decode, Encode};

use super::{Lineage, RequestId};
use crate::id::{AttemptId, ServiceName};

/// Head of an attempt, from the owner of a request to the gate beside a target.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct MeshAttempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Id that the caller gave to its request.
    pub request_id: RequestId,
    /// Service that is to run the request.
    pub service: ServiceName,
    /// Service beside the node at which the request began.
    pub caller: ServiceName,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers that are passed on to the target.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Place of the request in its chain.
    pub lineage: Lineage,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left until the caller or the route gives up.
    pub time_left: Duration,
    /// Longest time that the request may wait at the gate.
    pub max_wait: Duration,
}
