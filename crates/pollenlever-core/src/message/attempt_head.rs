use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;
use crate::id::{AttemptId, ChainId, ContentDigest, CustomerId, RequestKey, ServiceName};

/// Head of an attempt, from the entry or the home to the gate beside a target.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct AttemptHead {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Chain to which the request belongs.
    pub chain: ChainId,
    /// Key, for a request that may run at most once.
    pub key: Option<RequestKey>,
    /// Service to which the request goes.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<(String, String)>,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Importance of the chain.
    pub importance: Importance,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Hash of customer, method, path and body.
    pub digest: ContentDigest,
    /// Whether the attempt repeats an earlier one and took a grant.
    pub is_retry: bool,
    /// Crashes of targets that the sender counts against the request.
    pub crashes: u32,
}
