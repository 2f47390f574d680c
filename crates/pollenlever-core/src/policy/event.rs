use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::{RunResult, TargetNotice};
use crate::config::ServiceConfig;
use crate::id::{
    AttemptId, CallId, ChainId, ExchangeId, NodeId, RequestKey, RunId, ServiceName, StreamId,
    WorkspaceName,
};
use crate::membership::Member;
use crate::message::{PeerReply, PeerRequest};

/// A request received from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Name of the called service.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: String,
    /// HTTP path and query, with a leading slash.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Workspace on whose behalf the call is made.
    pub workspace: WorkspaceName,
    /// Request key that the caller got for this request, if any.
    pub key: Option<RequestKey>,
    /// Chain copied from an earlier answer; present if the call is a resend.
    pub chain: Option<ChainId>,
    /// Attempt during which a target makes this call; `None` if the caller is not a target.
    pub parent: Option<AttemptId>,
    /// Time that the caller waits, if it is given.
    pub timeout: Option<Duration>,
}

/// Whether a failed request may have reached its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was written to a connection.
    NotSent,
    /// The peer may have received the request.
    Lost,
}

/// An event that the driver reports to a policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller sent a request.
    Call(CallId, Call),
    /// The caller cancelled the call or closed its connection.
    CallCancelled(CallId),
    /// A caller asks for `count` request keys.
    IssueKeys {
        /// Local number of the call to answer with [`Action::Keys`](super::Action::Keys).
        call: CallId,
        /// Number of keys to create.
        count: u32,
    },
    /// A peer sent a request.
    Request {
        /// Local number of the stream to reply on.
        stream: StreamId,
        /// The peer that sent it.
        from: NodeId,
        /// The request.
        req: PeerRequest,
        /// Body of an attempt or a forwarded request.
        body: Bytes,
    },
    /// The peer cancelled its request.
    RequestCancelled(StreamId),
    /// A peer replied to a request of this node.
    Reply(ExchangeId, PeerReply, Bytes),
    /// A request to a peer failed without a reply.
    SendFailed(ExchangeId, SendFailure),
    /// A run on the target ended.
    RunEnded(RunId, RunResult),
    /// The target beside this node reported its state.
    Target(TargetNotice),
    /// A new configuration of a service applies on this node.
    Config(Arc<ServiceConfig>),
    /// Members that are new or changed.
    MembersUpdated(Vec<Member>),
    /// Members that are gone.
    MembersRemoved(Vec<NodeId>),
    /// This node must leave: refuse new requests and finish those in flight.
    Leave,
    /// The time returned by [`Policy::next_wakeup`](super::Policy::next_wakeup) was reached.
    Tick,
}
