use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;
use crate::id::{ChainId, ContentDigest, RequestKey, ServiceName, WorkspaceName};

/// Head of a keyed request, sent by its entry (the node that received it from the caller) to the
/// home named in its key.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ForwardHead {
    /// Key of the request.
    pub key: RequestKey,
    /// Chain of calls to which the request belongs.
    pub chain: ChainId,
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
}
