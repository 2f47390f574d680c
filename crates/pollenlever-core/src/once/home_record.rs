use bytes::Bytes;

use crate::Timestamp;
use crate::answer::Answer;
use crate::id::{CallId, ContentDigest, ServiceName, StreamId};

/// Who waits for the answer to a keyed request at its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A call made to the home itself.
    Call(CallId),
    /// A request forwarded by another entry.
    Stream(StreamId),
}

/// What a home has decided about a keyed request.
#[derive(Debug, Clone)]
pub(crate) enum RecordState {
    /// Being delivered.
    Running,
    /// Ended for good: with an answer, not run, or unknown.
    Ended(Answer, Bytes),
}

/// A keyed request at its home.
#[derive(Debug, Clone)]
pub(crate) struct HomeRecord {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Hash of the request that the key belongs to.
    pub(crate) digest: ContentDigest,
    /// What is decided.
    pub(crate) state: RecordState,
    /// Who waits for the answer.
    pub(crate) waiters: Vec<Waiter>,
    /// Time after which the record may be dropped once it has ended.
    pub(crate) expires: Timestamp,
}
