use std::time::Duration;

use super::request::Request;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::id::{AttemptId, CallId, ExchangeId, NodeId, RequestKey};

/// Number of a delivery, unique within the node.
pub(super) type DeliveryId = u64;

/// Delivery of a request to a target by one or more attempts.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) owner: Owner,
    pub(super) req: Request,
    pub(super) stage: DeliveryStage,
    /// The last attempt and the node to which it was sent.
    pub(super) attempt: Option<(AttemptId, NodeId)>,
    /// Time at which the last attempt was sent.
    pub(super) sent: Timestamp,
    /// Nodes to which attempts were sent.
    pub(super) tried: Vec<NodeId>,
    /// Whether an attempt of an idempotent request may have run.
    pub(super) may_have_run: bool,
    /// Why the last attempt gave no answer; [`ErrorKind::NoTarget`] before the first attempt.
    pub(super) last_error: LastError,
}

impl Delivery {
    pub(super) fn new(owner: Owner, req: Request) -> Delivery {
        Delivery {
            owner,
            req,
            stage: DeliveryStage::Routing,
            attempt: None,
            sent: Timestamp::ZERO,
            tried: Vec::new(),
            may_have_run: false,
            last_error: LastError { kind: ErrorKind::NoTarget, retry_after: None },
        }
    }

    /// Whether the gate is being asked to seal the last attempt.
    pub(super) fn is_awaiting_seal(&self) -> bool {
        matches!(self.stage, DeliveryStage::AwaitingSeal(_) | DeliveryStage::SealBackoff)
    }

    /// Whether the request must not run more than once, because it has a key.
    pub(super) fn is_at_most_once(&self) -> bool {
        matches!(self.owner, Owner::Record(_))
    }
}

/// Receiver of the outcome of a delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Owner {
    /// A call of this entry for an idempotent request.
    Call(CallId),
    /// The record of a keyed request at this home.
    Record(RequestKey),
}

/// Progress of a delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeliveryStage {
    /// The next attempt is about to be sent.
    Routing,
    /// An attempt was sent and its reply is outstanding.
    Attempting(ExchangeId),
    /// Waiting for the origin's grant of a retry.
    AwaitingGrant(ExchangeId),
    /// Waiting for the gate's reply to a seal request.
    AwaitingSeal(ExchangeId),
    /// Waiting before the gate is asked again.
    SealBackoff,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastError {
    pub(super) kind: ErrorKind,
    pub(super) retry_after: Option<Duration>,
}
