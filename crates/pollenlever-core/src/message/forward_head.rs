use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;
use crate::id::{ChainId, ContentDigest, CustomerId, RequestKey, ServiceName};

/// Head of a keyed request, from the entry to the home that its key names.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ForwardHead {
    /// Key of the request.
    pub key: RequestKey,
    /// Chain to which the request belongs.
    pub chain: ChainId,
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
}
