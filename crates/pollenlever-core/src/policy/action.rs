use bytes::Bytes;

use super::Observation;
use crate::answer::Answer;
use crate::id::{AttemptId, CallId, ChainId, ExchangeId, NodeId, RequestKey, RunId, StreamId};
use crate::message::{PeerReply, PeerRequest};

/// What a driver carries out for a policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// The call.
        call: CallId,
        /// Chain of the call, for the caller's resends.
        chain: Option<ChainId>,
        /// Head of the answer.
        answer: Answer,
        /// Whole body.
        body: Bytes,
    },
    /// Give request keys to a caller.
    Keys(CallId, Vec<RequestKey>),
    /// Send a request to a peer; report its reply or failure under the same number.
    Send {
        /// Local number of the exchange.
        exchange: ExchangeId,
        /// The peer; only this incarnation may act on the request.
        to: NodeId,
        /// The request.
        req: PeerRequest,
        /// Body of an attempt or a forwarded request.
        body: Bytes,
    },
    /// Give up on an exchange: reset its stream and report nothing more about it.
    CancelSend(ExchangeId),
    /// Reply to a peer.
    Reply(StreamId, PeerReply, Bytes),
    /// Run a request on the target; report its end under the same number.
    Run {
        /// Local number of the run.
        run: RunId,
        /// Sent to the target, which copies it to the calls that it makes.
        attempt: AttemptId,
        /// HTTP method.
        method: String,
        /// HTTP path and query.
        path: String,
        /// Headers for the target.
        headers: Vec<(String, String)>,
        /// Whole body.
        body: Bytes,
        /// Time left until the deadline.
        time_left: std::time::Duration,
    },
    /// Give up on a run: close its connection and report nothing more about it.
    CancelRun(RunId),
    /// Count an ended call.
    Observe(Observation),
    /// Everything in flight has ended after [`Event::Leave`](super::Event::Leave).
    Left,
}
