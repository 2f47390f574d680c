use super::delivery::DeliveryId;
use super::request::Request;
use crate::Timestamp;
use crate::id::{AttemptId, ExchangeId};

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
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallStage {
    /// A resend waits for the origin's grant.
    Granting(ExchangeId),
    /// This node delivers the request.
    Delivering(DeliveryId),
    /// This node is the home of the request's key.
    AtHome,
    /// Another node is the home of the request's key.
    Forwarded(ExchangeId),
}
