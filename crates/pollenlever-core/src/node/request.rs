use std::time::Duration;

use bytes::Bytes;

use crate::Timestamp;
use crate::config::{Importance, RequestKind};
use crate::id::{
    AttemptId, ChainId, ContentDigest, KindName, RequestKey, ServiceName, WorkspaceName,
};
use crate::message::{AttemptHead, ForwardHead};
use crate::policy::Call;
use crate::suspicion::content_digest;

/// A request with the properties that follow from its kind and its chain.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) chain: ChainId,
    pub(super) key: Option<RequestKey>,
    pub(super) service: ServiceName,
    pub(super) kind: KindName,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Bytes,
    pub(super) workspace: WorkspaceName,
    pub(super) importance: Importance,
    pub(super) depth: u8,
    pub(super) deadline: Timestamp,
    pub(super) digest: ContentDigest,
    pub(super) max_crashes: u32,
}

impl Request {
    /// The request that another entry forwarded to its home.
    pub(super) fn from_forward(
        now: Timestamp,
        head: ForwardHead,
        kind: &RequestKind,
        body: Bytes,
    ) -> Request {
        Request {
            chain: head.chain,
            key: Some(head.key),
            service: head.service,
            kind: kind.name.clone(),
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            workspace: head.workspace,
            importance: head.importance,
            depth: head.depth,
            deadline: now + head.time_left,
            digest: head.digest,
            max_crashes: kind.max_crashes,
        }
    }

    /// Head of the message that sends an attempt to a gate.
    pub(super) fn attempt_head(
        &self,
        now: Timestamp,
        id: AttemptId,
        is_retry: bool,
        crashes: u32,
    ) -> AttemptHead {
        AttemptHead {
            id,
            chain: self.chain,
            key: self.key,
            service: self.service.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            workspace: self.workspace.clone(),
            importance: self.importance,
            depth: self.depth,
            time_left: self.time_left(now),
            digest: self.digest,
            is_retry,
            crashes,
        }
    }

    /// Head of the message that forwards the request to the home of its key.
    pub(super) fn forward_head(&self, now: Timestamp, key: RequestKey) -> ForwardHead {
        ForwardHead {
            key,
            chain: self.chain,
            service: self.service.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            workspace: self.workspace.clone(),
            importance: self.importance,
            depth: self.depth,
            time_left: self.time_left(now),
            digest: self.digest,
        }
    }

    pub(super) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Hash of workspace, service, method, path and body of a call.
pub(super) fn call_digest(call: &Call) -> ContentDigest {
    let (workspace, service) = (call.workspace.as_bytes(), call.service.as_bytes());
    content_digest([workspace, service, call.method.as_bytes(), call.path.as_bytes(), &call.body])
}
