use std::time::Duration;

use bincode::{Decode, Encode};

use crate::answer::Answer;
use crate::id::{ContentDigest, RequestKey, ServiceName};

/// An ended record that a home hands over.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandedRecord {
    /// Key of the request.
    pub key: RequestKey,
    /// Service of the request.
    pub service: ServiceName,
    /// Hash of customer, method, path and body.
    pub digest: ContentDigest,
    /// Head of the answer.
    pub answer: Answer,
    /// Bytes of the answer's body.
    pub body_len: u32,
    /// Time by the home's clock after which the record may be dropped.
    pub expires: Duration,
}
