use std::time::Duration;

use super::request::Request;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::id::{AttemptId, CallId, ExchangeId, NodeId, RequestKey};

/// Local number of a delivery.
pub(super) type DeliveryId = u64;

/// A request on its way to a target, over one or more attempts.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) owner: Owner,
    pub(super) req: Request,
    pub(super) stage: DeliveryStage,
    /// The last attempt and the node that it went to.
    pub(super) attempt: Option<(AttemptId, NodeId)>,
    /// Time at which the last attempt was sent.
    pub(super) sent: Timestamp,
    /// Nodes that attempts went to.
    pub(super) tried: Vec<NodeId>,
    /// Whether an attempt of an idempotent request may have run.
    pub(super) maybe_ran: bool,
    /// Why the last attempt gave no answer.
    pub(super) last: LastError,
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
            maybe_ran: false,
            last: LastError { kind: ErrorKind::NoTarget, retry_after: None },
        }
    }

    /// Whether the gate is being asked what became of the last attempt.
    pub(super) fn is_asking_seal(&self) -> bool {
        matches!(self.stage, DeliveryStage::AskingSeal(_) | DeliveryStage::SealPause)
    }

    /// Whether the request may run at most once.
    pub(super) fn is_once(&self) -> bool {
        matches!(self.owner, Owner::Record(_))
    }
}

/// Who wants the outcome of a delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Owner {
    /// A call for an idempotent request.
    Call(CallId),
    /// A record at this home.
    Record(RequestKey),
}

/// How far a delivery has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeliveryStage {
    /// The next attempt is about to be sent.
    Routing,
    /// An attempt is out.
    Attempting(ExchangeId),
    /// A retry waits for the origin's grant.
    Granting(ExchangeId),
    /// The gate is asked what became of the attempt.
    AskingSeal(ExchangeId),
    /// The gate will be asked again.
    SealPause,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LastError {
    pub(super) kind: ErrorKind,
    pub(super) retry_after: Option<Duration>,
}
