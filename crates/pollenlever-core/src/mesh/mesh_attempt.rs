use std::time::Duration;

use bincode::{Decode, Encode};

use super::RequestId;
use crate::config::Importance;
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
    /// Importance of the route.
    pub importance: Importance,
    /// Whether a target makes this request while it runs another one.
    pub is_inner: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Chance that the request repeats one that may have run, be it by a repeat of the run that
    /// makes the call.
    pub repeat: f32,
    /// Time left until the caller or the route gives up.
    pub time_left: Duration,
    /// Longest time that the request may wait at the gate.
    pub max_wait: Duration,
}
