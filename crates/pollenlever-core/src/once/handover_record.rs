use std::time::Duration;

use bincode::{Decode, Encode};

use crate::answer::Answer;
use crate::id::{ContentDigest, RequestKey, ServiceName};

/// The record of an ended request, as transferred to the successor of its home.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandoverRecord {
    /// Key of the request.
    pub key: RequestKey,
    /// Service of the request.
    pub service: ServiceName,
    /// Hash of workspace, service, method, path and body.
    pub digest: ContentDigest,
    /// Status, headers and outcome of the answer, without the body.
    pub answer: Answer,
    /// Length of the answer's body in bytes.
    pub body_len: u32,
    /// Time on the home's clock after which the record may be dropped.
    pub expires: Duration,
}
