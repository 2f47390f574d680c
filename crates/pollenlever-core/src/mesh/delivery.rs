use std::time::Duration;

use super::{AttemptInFlight, AttemptOutcome};
use crate::answer::ErrorKind;
use crate::id::NodeId;

/// Maximum number of gates that may refuse a request before it fails.
const MAX_REFUSALS: u32 = 6;
/// Maximum number of refusals because of overload before a request fails.
const MAX_OVERLOAD_REFUSALS: u32 = 2;
/// Maximum number of refusals because of overload before an urgent request fails, or one on which
/// admitted work depends.
const MAX_OVERLOAD_REFUSALS_URGENT: u32 = 3;
/// Maximum number of times that a request is handed to targets which do not reject it.
const MAX_RUNS: u32 = 6;
/// Maximum number of rejections by targets. A rejection is cheap, and while targets reject at
/// random, each further attempt has the same chance; the retry budget limits them before.
const MAX_REJECTIONS: u32 = 24;

/// Next step of the owner of a request after an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on to the caller.
    Deliver,
    /// Make another attempt, provided that the retry budget allows it where `uses_budget` is set;
    /// otherwise fail.
    Retry {
        /// Whether the next attempt counts against the retry budget.
        uses_budget: bool,
    },
    /// Answer the caller with an error and, if known, the time after which it may retry.
    Fail(ErrorKind, Option<Duration>),
}

/// State that the owner of a request keeps about its attempts.
///
/// A request that is not idempotent is sent again only if it is certain that no earlier attempt has
/// run or will run.
#[derive(Debug, Clone)]
pub struct Delivery {
    is_idempotent: bool,
    max_targets: u32,
    is_urgent: bool,
    overload_refusals: u32,
    /// Gates whose targets were handed the request, without duplicates.
    handed_to: Vec<NodeId>,
    /// Gates to which no further attempt is sent.
    excluded_gates: Vec<NodeId>,
    handovers: u32,
    rejections: u32,
    refusals: u32,
    may_have_run: bool,
    in_flight: Option<AttemptInFlight>,
    last_refusal: (ErrorKind, Option<Duration>),
}

impl Delivery {
    /// Creates the state of a request that was not sent yet. An urgent request is tried at more
    /// overloaded gates before it fails. A `max_targets` of 0 counts as 1.
    pub fn new(is_idempotent: bool, max_targets: u32, is_urgent: bool) -> Delivery {
        Delivery {
            is_idempotent,
            is_urgent,
            overload_refusals: 0,
            max_targets: max_targets.max(1),
            handed_to: Vec::new(),
            excluded_gates: Vec::new(),
            handovers: 0,
            rejections: 0,
            refusals: 0,
            may_have_run: false,
            in_flight: None,
            last_refusal: (ErrorKind::NoTarget, None),
        }
    }

    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, attempt: AttemptInFlight) {
        self.in_flight = Some(attempt);
    }

    /// Records the outcome of the attempt at `gate` and returns the next step.
    pub fn record_outcome(&mut self, gate: NodeId, outcome: &AttemptOutcome) -> NextStep {
        self.in_flight = None;
        match outcome {
            AttemptOutcome::Answered(status) => self.step_after_answer(gate, *status),
            AttemptOutcome::FailedDownstream(status) => {
                self.record_handover(gate);
                self.may_have_run = true;
                if is_not_run_status(*status) { self.fail() } else { NextStep::Deliver }
            }
            AttemptOutcome::RejectedByTarget => {
                self.record_handover(gate);
                self.rejections += 1;
                self.last_refusal = (ErrorKind::Overloaded, None);
                self.budgeted_retry()
            }
            AttemptOutcome::RefusedByGate { error, retry_after } => {
                self.excluded_gates.push(gate);
                self.last_refusal = (*error, *retry_after);
                let is_full = matches!(error, ErrorKind::Overloaded | ErrorKind::DeadlineTooShort);
                self.overload_refusals += u32::from(is_full);
                // Other gates of the service would refuse the request for the same reason.
                let is_final =
                    matches!(error, ErrorKind::Suspect | ErrorKind::DownstreamOverloaded);
                if is_final { self.fail() } else { self.step_after_refusal() }
            }
            AttemptOutcome::NotSent => {
                self.excluded_gates.push(gate);
                self.last_refusal = (ErrorKind::NoTarget, None);
                self.step_after_refusal()
            }
            AttemptOutcome::Unknown => {
                self.record_handover(gate);
                self.excluded_gates.push(gate);
                self.may_have_run = true;
                if self.is_idempotent { self.budgeted_retry() } else { self.fail() }
            }
        }
    }

    /// The step that fails the request with the error for its caller.
    pub fn fail(&self) -> NextStep {
        if self.may_have_run {
            return NextStep::Fail(ErrorKind::OutcomeUnknown, None);
        }
        NextStep::Fail(self.last_refusal.0, self.last_refusal.1)
    }

    /// The attempt whose outcome is not known yet; `None` if there is none.
    pub fn in_flight(&self) -> Option<AttemptInFlight> {
        self.in_flight
    }

    /// Whether any attempt whose outcome was recorded may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Number of times that a target was handed the request, including those that rejected it.
    pub fn handovers(&self) -> u32 {
        self.handovers
    }

    /// Number of attempts that a gate refused or that were not sent.
    pub fn refusals(&self) -> u32 {
        self.refusals
    }

    /// Gates that the next attempt must not go to.
    pub fn excluded_gates(&self) -> &[NodeId] {
        &self.excluded_gates
    }

    /// The only gates to which the next attempt may go, once the request has been handed to as many
    /// targets as its route allows; `None` before that.
    pub fn allowed_gates(&self) -> Option<&[NodeId]> {
        (self.handed_to.len() as u32 >= self.max_targets).then_some(&self.handed_to)
    }

    fn step_after_answer(&mut self, gate: NodeId, status: u16) -> NextStep {
        self.record_handover(gate);
        self.may_have_run = true;
        if status < 500 && !is_not_run_status(status) {
            return NextStep::Deliver;
        }
        if self.is_idempotent {
            self.excluded_gates.push(gate);
            return self.budgeted_retry();
        }
        if is_not_run_status(status) { self.fail() } else { NextStep::Deliver }
    }

    fn record_handover(&mut self, gate: NodeId) {
        self.handovers += 1;
        if !self.handed_to.contains(&gate) {
            self.handed_to.push(gate);
        }
    }

    fn budgeted_retry(&self) -> NextStep {
        let has_allowed_gate = match self.allowed_gates() {
            Some(gates) => gates.iter().any(|it| !self.excluded_gates.contains(it)),
            None => true,
        };
        let is_tried_enough =
            self.handovers - self.rejections >= MAX_RUNS || self.rejections >= MAX_REJECTIONS;
        if is_tried_enough || !has_allowed_gate {
            return self.fail();
        }
        NextStep::Retry { uses_budget: true }
    }

    fn step_after_refusal(&mut self) -> NextStep {
        self.refusals += 1;
        let limit =
            if self.is_urgent { MAX_OVERLOAD_REFUSALS_URGENT } else { MAX_OVERLOAD_REFUSALS };
        if self.overload_refusals >= limit || self.refusals >= MAX_REFUSALS {
            return self.fail();
        }
        // Once a target was handed the request, a further attempt counts against the retry budget,
        // even if other gates refused the request in between.
        NextStep::Retry { uses_budget: self.handovers > 0 }
    }
}

/// Whether callers take this HTTP status as a promise that the request did not run.
pub fn is_not_run_status(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
