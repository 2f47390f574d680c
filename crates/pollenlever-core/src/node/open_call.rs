use super::delivery::DeliveryId;
use super::request::Request;
use crate::Timestamp;
use crate::id::{AttemptId, ExchangeId, NodeId};

/// A caller's call that has no answer yet.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) req: Request,
    pub(super) arrived: Timestamp,
    /// Attempt inside which the call was made.
    pub(super) parent: Option<AttemptId>,
    /// Whether the call is a resend, so that an earlier call may have run the request.
    pub(super) may_have_run: bool,
    pub(super) stage: CallStage,
    /// Nodes still to be asked that may have taken over from the home; `None` until it is gone.
    pub(super) successors: Option<Vec<NodeId>>,
    /// Number of times that all possible successors were asked.
    pub(super) handover_rounds: u32,
}

/// Progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    /// Waiting for the origin's grant of a resend.
    AwaitingGrant(ExchangeId),
    /// A handover by the home may be in progress; its possible successors are asked again soon.
    AwaitingHandover,
    /// This node delivers the request.
    Delivering(DeliveryId),
    /// This node is the home of the request's key.
    AtHome,
    /// Forwarded to the node that is the home of the request's key.
    Forwarded(ExchangeId),
}
