use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::{RunResult, TargetNotice};
use crate::config::ServiceConfig;
use crate::id::{
    AttemptId, CallId, ChainId, CustomerId, ExchangeId, NodeId, RequestKey, RunId, ServiceName,
    StreamId,
};
use crate::membership::Member;
use crate::message::{PeerReply, PeerRequest};

/// A request as it arrives from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Service that is called.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: String,
    /// HTTP path and query, with a leading slash.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Key that the caller took for this request.
    pub key: Option<RequestKey>,
    /// Chain of an earlier answer: the call is a resend.
    pub chain: Option<ChainId>,
    /// Attempt inside which a target makes this call.
    pub parent: Option<AttemptId>,
    /// Time that the caller waits, if it says so.
    pub timeout: Option<Duration>,
}

/// How far a request to a peer got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of it reached a connection.
    Untouched,
    /// It may have arrived.
    Lost,
}

/// What the driver reports to a policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller made a call.
    Call(CallId, Call),
    /// The caller hung up.
    CallCancelled(CallId),
    /// A caller asks for `count` request keys.
    TakeKeys {
        /// Local number of the call to answer with [`Action::Keys`](super::Action::Keys).
        call: CallId,
        /// Keys wanted.
        count: u32,
    },
    /// A peer sent a request.
    Request {
        /// Local number of the stream to reply on.
        stream: StreamId,
        /// The peer.
        from: NodeId,
        /// The request.
        req: PeerRequest,
        /// Body of an attempt or a forwarded request.
        body: Bytes,
    },
    /// The peer gave up on its request.
    RequestCancelled(StreamId),
    /// A peer replied.
    Reply(ExchangeId, PeerReply, Bytes),
    /// A request to a peer failed.
    SendFailed(ExchangeId, SendFailure),
    /// The target ended a run.
    RunEnded(RunId, RunResult),
    /// The target beside this node said something about itself.
    Target(TargetNotice),
    /// A configuration is in force on this node.
    Config(Arc<ServiceConfig>),
    /// Members that are new or changed.
    MembersUp(Vec<Member>),
    /// Members that are gone.
    MembersGone(Vec<NodeId>),
    /// This node is asked to leave: refuse new work, finish what runs.
    Leave,
    /// Time passed.
    Tick,
}
