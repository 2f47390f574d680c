use bytes::Bytes;

use super::Observation;
use crate::answer::Answer;
use crate::id::{AttemptId, CallId, ChainId, ExchangeId, NodeId, RequestKey, RunId, StreamId};
use crate::message::{PeerReply, PeerRequest};

/// An action that a policy asks its driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the answer of a call to its caller.
    Answer {
        /// Local number of the call.
        call: CallId,
        /// Chain of the call; the caller sends it along if it resends the call.
        chain: Option<ChainId>,
        /// Status, headers and outcome of the answer.
        answer: Answer,
        /// Whole body.
        body: Bytes,
    },
    /// Send new request keys to a caller.
    Keys(CallId, Vec<RequestKey>),
    /// Send a request to a peer. Its reply or failure is reported with the same exchange number.
    Send {
        /// Local number of the exchange.
        exchange: ExchangeId,
        /// The peer. Only this incarnation (start of its process) may handle the request.
        to: NodeId,
        /// The request.
        req: PeerRequest,
        /// Body of an attempt or a forwarded request.
        body: Bytes,
    },
    /// Cancel an exchange: reset its stream and report nothing more about it.
    CancelSend(ExchangeId),
    /// Reply to a request of a peer, with the body that belongs to the reply.
    Reply(StreamId, PeerReply, Bytes),
    /// Run a request on the target. Its end is reported with the same run number.
    Run {
        /// Local number of the run.
        run: RunId,
        /// Number of the attempt. It is sent to the target, which copies it to the calls that it
        /// makes while running the request.
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
    /// Cancel a run: close its connection and report nothing more about it.
    CancelRun(RunId),
    /// Record an ended call in metrics and reports.
    RecordCall(Observation),
    /// All requests in flight have ended after [`Event::Leave`](super::Event::Leave).
    LeaveCompleted,
}
