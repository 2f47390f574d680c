use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::admission::RunOutcome;
use pollenlever_core::mesh::RequestClass;
use pollenlever_core::pace::{EndedRun, PaceHistory, StartPace};

use super::fleet::{SLOTS, started_run};
use super::secs;

const MS: Duration = Duration::from_millis(1);
/// Own time of a usual run.
const USUAL: Duration = Duration::from_millis(100);

fn pace() -> StartPace {
    StartPace::new(Duration::ZERO, SLOTS, &PaceHistory::default())
}

/// Runs as many requests as the limit allows at once, in batches until a time. `edit` changes the
/// usual run with a number.
fn run_batches(
    pace: &mut StartPace,
    until: Timestamp,
    edit: impl Fn(Timestamp, u32, &mut EndedRun),
) {
    let (mut now, mut number) = (Duration::ZERO, 0);
    while now < until {
        let concurrency = pace.limit();
        let mut runs = Vec::new();
        for _ in 0..concurrency {
            let mut run = EndedRun { own_time: USUAL, ..started_run(now, concurrency) };
            edit(now, number, &mut run);
            pace.record_start(now, concurrency);
            runs.push(run);
            number += 1;
        }
        now += USUAL;
        runs.iter().for_each(|it| pace.record_run(now, it));
    }
}

/// Guards against time that says nothing about the target: the limit reaches the slots as usual.
fn is_not_misled(edit: impl Fn(Timestamp, u32, &mut EndedRun)) {
    let mut pace = pace();
    run_batches(&mut pace, secs(2.0), edit);
    assert!(!pace.is_in_force(), "{} {:?}", pace.limit(), pace.last_round());
    assert_eq!(pace.limit(), SLOTS);
}

#[test]
fn a_class_with_another_service_time_does_not_hold_the_limit() {
    is_not_misled(|now, number, run| {
        if now >= 100 * MS && number % 2 == 0 {
            run.class = RequestClass { depth: 2, ..run.class };
            run.own_time = 20 * USUAL;
        }
    });
}

#[test]
fn single_long_requests_do_not_hold_the_limit() {
    is_not_misled(|_, number, run| {
        if number % 16 == 9 {
            run.own_time = 50 * USUAL;
        }
    });
}

#[test]
fn disturbed_work_for_600_ms_does_not_hold_the_limit() {
    is_not_misled(|now, _, run| {
        if (200 * MS..800 * MS).contains(&now) {
            run.own_time = USUAL.mul_f64(2.5);
        }
    });
}

#[test]
fn random_rejections_do_not_hold_the_limit() {
    is_not_misled(|_, number, run| {
        if number % 30 == 7 {
            run.outcome = RunOutcome::ShedByTarget;
        }
    });
}

#[test]
fn rejections_halve_the_limit_down_to_one() {
    let mut pace = pace();
    run_batches(&mut pace, 100 * MS, |_, _, run| run.outcome = RunOutcome::ShedByTarget);
    assert_eq!(pace.limit(), SLOTS / 8);
    run_batches(&mut pace, secs(1.0), |_, _, run| run.outcome = RunOutcome::ShedByTarget);
    assert_eq!(pace.limit(), 1);
}

#[test]
fn a_report_of_a_slow_vm_never_raises_the_limit() {
    let mut pace = pace();
    run_batches(&mut pace, secs(3.0), |_, _, run| run.slowdown_percent = Some(250));
    assert_eq!(pace.limit(), SLOTS / 4);
}

/// Guards against a report of a fast or slow VM that excuses times which rise with the concurrency.
#[test]
fn no_report_excuses_slow_responses() {
    for percent in [1, 100, 250] {
        let mut pace = pace();
        run_batches(&mut pace, secs(3.0), |_, _, run| {
            run.own_time = USUAL * run.concurrency / 9;
            run.slowdown_percent = Some(percent);
        });
        assert!(pace.is_in_force() && pace.limit() <= SLOTS / 2, "{percent} {}", pace.limit());
    }
}

#[test]
fn one_response_a_second_does_not_freeze_the_limit() {
    let mut pace = StartPace::new(Duration::ZERO, 4, &PaceHistory::default());
    assert_eq!(pace.limit(), 1);
    for second in 0..10 {
        let now = secs(f64::from(second));
        pace.record_start(now, 1);
        let own_time = USUAL * (1 + second % 3);
        pace.record_run(now + own_time, &EndedRun { own_time, ..started_run(now, 1) });
    }
    assert!(!pace.is_in_force());
}
