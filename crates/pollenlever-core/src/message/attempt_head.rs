use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;
use crate::id::{AttemptId, ChainId, ContentDigest, RequestKey, ServiceName, WorkspaceName};

/// Head of an attempt, a single try to run a request. It is sent to a gate (the node beside a
/// target) by the request's entry (the node that received it from the caller), or for a keyed
/// request by its home (the node that created the key).
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct AttemptHead {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Chain of calls to which the request belongs.
    pub chain: ChainId,
    /// Key of the request, if it may run at most once.
    pub key: Option<RequestKey>,
    /// Name of the called service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<(String, String)>,
    /// Workspace on whose behalf the call is made.
    pub workspace: WorkspaceName,
    /// Importance of the chain; the least important requests are shed first.
    pub importance: Importance,
    /// Number of calls above this one in the chain; 0 for a new chain.
    pub depth: u8,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Hash of workspace, method, path and body.
    pub digest: ContentDigest,
    /// Whether the attempt repeats an earlier one, with a retry granted by the chain's origin.
    pub is_retry: bool,
    /// Number of target crashes that the sender has counted for the request.
    pub crashes: u32,
}
