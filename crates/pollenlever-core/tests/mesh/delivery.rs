use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{AttemptInFlight, AttemptOutcome, Delivery, NextStep};

use crate::cases;

const UNBUDGETED_RETRY: NextStep = NextStep::Retry { uses_budget: false };
const BUDGETED_RETRY: NextStep = NextStep::Retry { uses_budget: true };
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

/// Checks the step after the last of several attempts, each at a different gate.
fn check(is_idempotent: bool, outcomes: &[AttemptOutcome], expected: NextStep) {
    let mut delivery = Delivery::new(is_idempotent, 2, false);
    let ended = |(index, it)| delivery.record_outcome(gate(index as u64), it);
    let steps: Vec<NextStep> = outcomes.iter().enumerate().map(ended).collect();
    assert_eq!(steps.last(), Some(&expected));
}

cases! { check:
    an_answer_is_delivered => false, &[AttemptOutcome::Answered(200)], NextStep::Deliver;
    a_redirect_is_delivered => true, &[AttemptOutcome::Answered(302)], NextStep::Deliver;
    a_failure_of_a_request_that_is_not_idempotent_is_delivered => false, &[AttemptOutcome::Answered(500)], NextStep::Deliver;
    a_failure_of_an_idempotent_request_is_retried => true, &[AttemptOutcome::Answered(500)], BUDGETED_RETRY;
    a_failure_caused_downstream_is_delivered => true, &[AttemptOutcome::FailedDownstream(500)], NextStep::Deliver;
    a_downstream_failure_whose_status_claims_not_run_is_unknown => false, &[AttemptOutcome::FailedDownstream(503)], UNKNOWN;
    an_answer_whose_status_claims_not_run_is_unknown => false, &[AttemptOutcome::Answered(503)], UNKNOWN;
    a_rejection_is_retried_even_if_not_idempotent => false, &[AttemptOutcome::RejectedByTarget], BUDGETED_RETRY;
    a_refusal_is_retried_without_the_budget => false, &[leaving()], UNBUDGETED_RETRY;
    a_request_that_was_not_sent_is_retried_without_the_budget => false, &[AttemptOutcome::NotSent], UNBUDGETED_RETRY;
    a_lost_request_that_is_not_idempotent_is_never_retried => false, &[AttemptOutcome::Unknown], UNKNOWN;
    a_lost_idempotent_request_is_retried => true, &[AttemptOutcome::Unknown], BUDGETED_RETRY;
    a_retry_after_a_handover_and_a_refusal_uses_the_budget => true, &[AttemptOutcome::Unknown, leaving()], BUDGETED_RETRY;
    the_number_of_targets_is_limited => true, &[AttemptOutcome::Unknown, AttemptOutcome::Unknown], UNKNOWN;
    two_overload_refusals_fail_the_request => false, &[overloaded(), overloaded()],
        NextStep::Fail(ErrorKind::Overloaded, Some(Duration::from_millis(5)));
    a_request_that_many_targets_reject_is_still_retried =>
        false, &vec![AttemptOutcome::RejectedByTarget; 23], BUDGETED_RETRY;
    too_many_rejections_fail_as_overload => false, &vec![AttemptOutcome::RejectedByTarget; 24],
        NextStep::Fail(ErrorKind::Overloaded, None);
}

#[test]
fn a_failure_after_a_possible_run_is_reported_as_unknown() {
    let mut delivery = Delivery::new(true, 3, true);
    delivery.record_outcome(gate(1), &AttemptOutcome::Unknown);
    delivery.record_outcome(gate(2), &overloaded());
    assert_eq!(delivery.fail(), UNKNOWN);
}

#[test]
fn an_urgent_request_is_tried_at_more_gates() {
    let mut delivery = Delivery::new(false, 2, true);
    for index in 0..2 {
        assert_eq!(delivery.record_outcome(gate(index), &overloaded()), UNBUDGETED_RETRY);
    }
    assert!(matches!(delivery.record_outcome(gate(2), &overloaded()), NextStep::Fail(_, _)));
}

#[test]
fn at_the_limit_of_targets_only_gates_tried_before_are_allowed() {
    let mut delivery = Delivery::new(true, 2, false);
    delivery.record_outcome(gate(1), &AttemptOutcome::RejectedByTarget);
    assert_eq!(delivery.allowed_gates(), None);
    delivery.record_outcome(gate(2), &AttemptOutcome::Unknown);
    assert_eq!(delivery.allowed_gates(), Some(&[gate(1), gate(2)][..]));
    assert_eq!(delivery.excluded_gates(), [gate(2)]);
}

#[test]
fn the_number_of_runs_is_limited() {
    let mut delivery = Delivery::new(true, 8, false);
    for index in 0..5 {
        let step = delivery.record_outcome(gate(index), &AttemptOutcome::Unknown);
        assert_eq!(step, BUDGETED_RETRY);
    }
    assert_eq!(delivery.record_outcome(gate(5), &AttemptOutcome::Unknown), UNKNOWN);
}

#[test]
fn an_attempt_is_in_flight_until_its_outcome_is_recorded() {
    let mut delivery = Delivery::new(false, 2, false);
    assert_eq!(delivery.in_flight(), None);
    let id = "127.0.0.1:7100@1~2".parse().unwrap();
    let sent = AttemptInFlight { id, gate: gate(0) };
    delivery.record_sent(sent);
    assert_eq!(delivery.in_flight(), Some(sent));
    delivery.record_outcome(gate(0), &AttemptOutcome::NotSent);
    assert_eq!(delivery.in_flight(), None);
}
