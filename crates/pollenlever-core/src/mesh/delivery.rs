use std::time::Duration;

use super::AttemptOutcome;
use crate::answer::ErrorKind;
use crate::id::NodeId;

/// Gates that may refuse one request before its caller is told to come back.
const MAX_REFUSALS: u32 = 6;
/// Overloaded gates that may refuse a request before its caller is told to come back.
const MAX_OVERLOADED: u32 = 2;
/// The same for a request that is urgent or on which admitted work depends.
const MAX_OVERLOADED_URGENT: u32 = 3;
/// Times that one request is handed to targets at most, rejections included.
const MAX_ARRIVALS: u32 = 6;

/// What the owner of a request does after an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on.
    Deliver,
    /// Try again if a retry can be paid for, else do what the error says.
    Retry {
        /// Whether another attempt draws on the budget of retries.
        is_paid: bool,
    },
    /// Answer the caller with an error.
    Fail(ErrorKind, Option<Duration>),
}

/// What the owner of a request knows about its attempts.
///
/// A request that may run at most once is sent again only if every earlier attempt is known not
/// to have run and never to run.
#[derive(Debug, Clone)]
pub struct Delivery {
    idempotent: bool,
    max_targets: u32,
    is_urgent: bool,
    overloaded: u32,
    /// Gates whose targets were handed the request, each once.
    handed_to: Vec<NodeId>,
    /// Gates that are not asked again.
    avoided: Vec<NodeId>,
    arrivals: u32,
    refusals: u32,
    maybe_ran: bool,
    last_refusal: (ErrorKind, Option<Duration>),
}

impl Delivery {
    /// A request of which nothing was sent yet. `is_urgent` says that it is tried at more gates
    /// while all are overloaded.
    pub fn new(idempotent: bool, max_targets: u32, is_urgent: bool) -> Delivery {
        Delivery {
            idempotent,
            is_urgent,
            overloaded: 0,
            max_targets: max_targets.max(1),
            handed_to: Vec::new(),
            avoided: Vec::new(),
            arrivals: 0,
            refusals: 0,
            maybe_ran: false,
            last_refusal: (ErrorKind::NoTarget, None),
        }
    }

    /// Takes the outcome of the attempt that went to `gate`.
    pub fn ended(&mut self, gate: NodeId, outcome: &AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Answered(status) => self.answered(gate, *status),
            AttemptOutcome::FailedBeneath(status) => {
                self.arrived(gate);
                self.maybe_ran = true;
                if says_not_run(*status) { self.fail() } else { NextStep::Deliver }
            }
            AttemptOutcome::RejectedByTarget => {
                self.arrived(gate);
                self.last_refusal = (ErrorKind::Overloaded, None);
                self.paid_retry()
            }
            AttemptOutcome::RefusedByGate { error, retry_after } => {
                self.avoided.push(gate);
                self.last_refusal = (*error, *retry_after);
                let is_full = matches!(error, ErrorKind::Overloaded | ErrorKind::DeadlineTooShort);
                self.overloaded += u32::from(is_full);
                if *error == ErrorKind::Suspect { self.fail() } else { self.free_retry() }
            }
            AttemptOutcome::NotSent => {
                self.avoided.push(gate);
                self.last_refusal = (ErrorKind::NoTarget, None);
                self.free_retry()
            }
            AttemptOutcome::Unknown => {
                self.arrived(gate);
                self.avoided.push(gate);
                self.maybe_ran = true;
                if self.idempotent { self.paid_retry() } else { self.fail() }
            }
        }
    }

    /// The error for the caller if nothing more is tried.
    pub fn fail(&self) -> NextStep {
        if self.maybe_ran {
            return NextStep::Fail(ErrorKind::OutcomeUnknown, None);
        }
        NextStep::Fail(self.last_refusal.0, self.last_refusal.1)
    }

    /// Whether some attempt may have run.
    pub fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// Times that a target was handed the request, rejections included.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Gates that refused the request or could not be reached.
    pub fn refusals(&self) -> u32 {
        self.refusals
    }

    /// Gates that the next attempt must not go to.
    pub fn avoided(&self) -> &[NodeId] {
        &self.avoided
    }

    /// The only gates that the next attempt may go to, once the request has been handed to as many
    /// targets as its route allows.
    pub fn confined_to(&self) -> Option<&[NodeId]> {
        (self.handed_to.len() as u32 >= self.max_targets).then_some(&self.handed_to)
    }

    fn answered(&mut self, gate: NodeId, status: u16) -> NextStep {
        self.arrived(gate);
        self.maybe_ran = true;
        if status < 500 && !says_not_run(status) {
            return NextStep::Deliver;
        }
        if self.idempotent {
            self.avoided.push(gate);
            return self.paid_retry();
        }
        if says_not_run(status) { self.fail() } else { NextStep::Deliver }
    }

    fn arrived(&mut self, gate: NodeId) {
        self.arrivals += 1;
        if !self.handed_to.contains(&gate) {
            self.handed_to.push(gate);
        }
    }

    fn paid_retry(&self) -> NextStep {
        let has_target = match self.confined_to() {
            Some(gates) => gates.iter().any(|it| !self.avoided.contains(it)),
            None => true,
        };
        if self.arrivals >= MAX_ARRIVALS || !has_target {
            return self.fail();
        }
        NextStep::Retry { is_paid: true }
    }

    fn free_retry(&mut self) -> NextStep {
        self.refusals += 1;
        let limit = if self.is_urgent { MAX_OVERLOADED_URGENT } else { MAX_OVERLOADED };
        if self.overloaded >= limit || self.refusals >= MAX_REFUSALS {
            return self.fail();
        }
        // An attempt after one that arrived is one more arrival, whoever refused in between.
        NextStep::Retry { is_paid: self.arrivals > 0 }
    }
}

/// Whether a caller takes the status as the promise that its request did not run.
pub fn says_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
