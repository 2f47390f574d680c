use bytes::Bytes;

use crate::Timestamp;
use crate::answer::Answer;
use crate::id::{CallId, ContentDigest, ServiceName, StreamId};

/// A party that waits at the home for the answer to a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A call made to the home itself.
    Call(CallId),
    /// A request forwarded by the entry of another node.
    Stream(StreamId),
}

/// State of a keyed request at its home.
#[derive(Debug, Clone)]
pub(crate) enum RecordState {
    /// Being delivered to a target.
    Running,
    /// Final: answered, not run, or outcome unknown.
    Ended(Answer, Bytes),
}

/// The home's record of a keyed request.
#[derive(Debug, Clone)]
pub(crate) struct HomeRecord {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Hash of the request's content, which detects a key reused for another request.
    pub(crate) digest: ContentDigest,
    pub(crate) state: RecordState,
    pub(crate) waiters: Vec<Waiter>,
    /// Time on the home's clock after which the record may be dropped, if the request has ended.
    pub(crate) expires: Timestamp,
}
