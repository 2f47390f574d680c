use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{AttemptOutcome, Delivery, NextStep};

use crate::cases;

const FREE: NextStep = NextStep::Retry { is_paid: false };
const PAID: NextStep = NextStep::Retry { is_paid: true };
const UNKNOWN: NextStep = NextStep::Fail(ErrorKind::OutcomeUnknown, None);

fn gate(index: u64) -> NodeId {
    NodeId { addr: "127.0.0.1:7101".parse().unwrap(), incarnation: index }
}

fn overloaded() -> AttemptOutcome {
    let retry_after = Some(Duration::from_millis(5));
    AttemptOutcome::RefusedByGate { error: ErrorKind::Overloaded, retry_after }
}

fn leaving() -> AttemptOutcome {
    AttemptOutcome::RefusedByGate { error: ErrorKind::Leaving, retry_after: None }
}

/// The step after the last of several attempts, each at a gate of its own.
fn check(idempotent: bool, outcomes: &[AttemptOutcome], expected: NextStep) {
    let mut delivery = Delivery::new(idempotent, 2, false);
    let ended = |(index, it)| delivery.ended(gate(index as u64), it);
    let steps: Vec<NextStep> = outcomes.iter().enumerate().map(ended).collect();
    assert_eq!(steps.last(), Some(&expected));
}

cases! { check:
    an_answer_is_delivered => false, &[AttemptOutcome::Answered(200)], NextStep::Deliver;
    a_redirect_is_delivered => true, &[AttemptOutcome::Answered(302)], NextStep::Deliver;
    a_failure_that_may_not_be_repeated_is_delivered => false, &[AttemptOutcome::Answered(500)], NextStep::Deliver;
    a_failure_that_may_be_repeated_is_retried => true, &[AttemptOutcome::Answered(500)], PAID;
    a_failure_that_comes_from_further_down_is_delivered => true, &[AttemptOutcome::FailedBeneath(500)], NextStep::Deliver;
    a_run_that_failed_beneath_and_calls_itself_not_run_is_unknown => false, &[AttemptOutcome::FailedBeneath(503)], UNKNOWN;
    a_run_that_calls_itself_not_run_is_unknown => false, &[AttemptOutcome::Answered(503)], UNKNOWN;
    a_rejection_is_retried_whatever_the_kind => false, &[AttemptOutcome::RejectedByTarget], PAID;
    a_refusal_is_retried_for_nothing => false, &[leaving()], FREE;
    nothing_sent_is_retried_for_nothing => false, &[AttemptOutcome::NotSent], FREE;
    a_lost_request_is_never_repeated => false, &[AttemptOutcome::Unknown], UNKNOWN;
    a_lost_idempotent_request_is_retried => true, &[AttemptOutcome::Unknown], PAID;
    a_refusal_after_an_arrival_is_paid => true, &[AttemptOutcome::Unknown, leaving()], PAID;
    targets_are_limited => true, &[AttemptOutcome::Unknown, AttemptOutcome::Unknown], UNKNOWN;
    two_overloaded_gates_are_enough => false, &[overloaded(), overloaded()],
        NextStep::Fail(ErrorKind::Overloaded, Some(Duration::from_millis(5)));
    rejections_end_as_overload => false, &vec![AttemptOutcome::RejectedByTarget; 6],
        NextStep::Fail(ErrorKind::Overloaded, None);
}

#[test]
fn a_failure_after_a_run_never_says_that_it_did_not_run() {
    let mut delivery = Delivery::new(true, 3, true);
    delivery.ended(gate(1), &AttemptOutcome::Unknown);
    delivery.ended(gate(2), &overloaded());
    assert_eq!(delivery.fail(), UNKNOWN);
}

#[test]
fn an_urgent_request_is_tried_at_more_gates() {
    let mut delivery = Delivery::new(false, 2, true);
    for index in 0..2 {
        assert_eq!(delivery.ended(gate(index), &overloaded()), FREE);
    }
    assert!(matches!(delivery.ended(gate(2), &overloaded()), NextStep::Fail(_, _)));
}

#[test]
fn after_enough_targets_only_those_that_rejected_it_are_asked_again() {
    let mut delivery = Delivery::new(true, 2, false);
    delivery.ended(gate(1), &AttemptOutcome::RejectedByTarget);
    assert_eq!(delivery.confined_to(), None);
    delivery.ended(gate(2), &AttemptOutcome::Unknown);
    assert_eq!(delivery.confined_to(), Some(&[gate(1), gate(2)][..]));
    assert_eq!(delivery.avoided(), [gate(2)]);
}
