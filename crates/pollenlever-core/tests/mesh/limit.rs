use std::time::Duration;

use pollenlever_core::admission::{FailureLimit, Limit, RunOutcome};

const STEP: Duration = Duration::from_millis(10);

/// Ends `count` runs at a gate with all slots in use, at intervals of `STEP`.
fn end_runs(limit: &mut FailureLimit, now: &mut Duration, count: u32, outcome: RunOutcome) {
    for _ in 0..count {
        *now += STEP;
        let in_flight = limit.get();
        limit.record_finished(*now, Duration::from_secs(1), outcome, in_flight);
    }
}

fn limit_with_36_slots() -> (FailureLimit, Duration) {
    let mut limit = FailureLimit::default();
    limit.set_slots(36);
    (limit, Duration::ZERO)
}

#[test]
fn the_limit_recovers_within_seconds_once_runs_succeed() {
    let (mut limit, mut now) = limit_with_36_slots();
    end_runs(&mut limit, &mut now, 200, RunOutcome::Failed);
    assert!(limit.get() < 10);
    end_runs(&mut limit, &mut now, 300, RunOutcome::Answered);
    assert_eq!(limit.get(), 36);
}

#[test]
fn slow_runs_do_not_lower_the_limit() {
    let (mut limit, mut now) = limit_with_36_slots();
    for ms in (100..10_000).step_by(100) {
        now += STEP;
        limit.record_finished(now, Duration::from_millis(ms), RunOutcome::Answered, 36);
    }
    assert_eq!(limit.get(), 36);
}

#[test]
fn cancelled_runs_do_not_change_the_limit() {
    let (mut limit, mut now) = limit_with_36_slots();
    end_runs(&mut limit, &mut now, 500, RunOutcome::Cancelled);
    assert_eq!(limit.get(), 36);
}

#[test]
fn a_target_with_one_slot_keeps_it() {
    let mut limit = FailureLimit::default();
    let mut now = Duration::ZERO;
    limit.set_slots(1);
    end_runs(&mut limit, &mut now, 500, RunOutcome::Failed);
    assert_eq!(limit.get(), 1);
}
