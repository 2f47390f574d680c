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
    /// Whether an earlier call for the same request may have run.
    pub(super) maybe_ran: bool,
    pub(super) stage: CallStage,
    /// Nodes that may have taken over from the home, once that is gone.
    pub(super) successors: Option<Vec<NodeId>>,
    /// Times that all of them were asked.
    pub(super) rounds: u32,
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    /// A resend waits for the origin's grant.
    Granting(ExchangeId),
    /// The home may be handing over; its successors are asked again soon.
    Pausing,
    /// This node delivers the request.
    Delivering(DeliveryId),
    /// This node is the home of the request's key.
    AtHome,
    /// Another node is the home of the request's key.
    Forwarded(ExchangeId),
}
