//! Load pattern: a target states how many requests a second it takes, and more are offered.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenlever_core::admission::{Admission, PriorityAdmission, Ticket, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::Importance;

use super::{cases, finish, gate, ms, offer, ticket};

/// Service time of a request, in milliseconds.
const WORK_MS: u64 = 100;
/// Time between two offered requests, in milliseconds.
const OFFER_INTERVAL_MS: u64 = 20;
/// Length of a trial, in milliseconds.
const TRIAL_MS: u64 = 20_000;

/// What became of the offered requests.
#[derive(Default)]
struct Outcome {
    /// When requests started, in milliseconds.
    starts: Vec<u64>,
    started: BTreeMap<Importance, u32>,
    offered: BTreeMap<Importance, u32>,
    refused: Vec<(ErrorKind, Duration)>,
}

fn set_rate(gate: &mut PriorityAdmission, now: u64, rate: Option<f64>) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    gate.set_rate_limit(ms(now), rate, &mut verdicts);
    verdicts
}

/// Offers 50 requests a second, every tenth of them critical, to a gate whose target states the
/// rates, each from a time in milliseconds on.
fn play(rates: &[(u64, Option<f64>)]) -> Outcome {
    let mut gate = gate(36);
    let mut outcome = Outcome::default();
    let mut importances = BTreeMap::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now in 0..TRIAL_MS {
        let mut verdicts = Vec::new();
        for (_, rate) in rates.iter().filter(|(at, _)| *at == now) {
            verdicts.extend(set_rate(&mut gate, now, *rate));
        }
        for (_, id) in running.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>() {
            verdicts.extend(finish(&mut gate, ms(now), id, ms(WORK_MS)));
        }
        if gate.next_wakeup().is_some_and(|it| it <= ms(now)) {
            gate.tick(ms(now), &mut verdicts);
        }
        if now % OFFER_INTERVAL_MS == 0 {
            let is_critical = now % (10 * OFFER_INTERVAL_MS) == 0;
            let importance = if is_critical { Importance::Critical } else { Importance::Normal };
            let id = now + 1;
            importances.insert(id, importance);
            *outcome.offered.entry(importance).or_default() += 1;
            let deadline = ms(now + 2000);
            let ticket = Ticket { importance, deadline, ..ticket(id) };
            verdicts.extend(offer(&mut gate, ms(now), ticket));
        }
        for verdict in verdicts {
            match verdict {
                Verdict::Run(id) => {
                    running.push((now + WORK_MS, id));
                    outcome.starts.push(now);
                    *outcome.started.entry(importances[&id]).or_default() += 1;
                }
                Verdict::Shed { error, retry_after, .. } => {
                    outcome.refused.push((error, retry_after));
                }
            }
        }
    }
    outcome
}

fn started_between(outcome: &Outcome, from: u64, until: u64) -> f64 {
    outcome.starts.iter().filter(|it| (from..until).contains(*it)).count() as f64
}

/// Checks that nearly as many requests start as the target takes, and in no window of four seconds
/// more than the starts of five seconds, or two beyond those of four.
fn check_rate(rate: f64) {
    let outcome = play(&[(0, Some(rate))]);
    let seconds = TRIAL_MS as f64 / 1000.0;
    let total = outcome.starts.len() as f64;
    assert!(total >= 0.9 * rate * seconds - 1.0, "{total} starts in {seconds} s");
    for from in (0..TRIAL_MS - 4000).step_by(10) {
        let count = started_between(&outcome, from, from + 4000);
        assert!(count <= 4.0 * rate + rate.max(2.0), "{count} starts from {from} ms on");
    }
    assert!(outcome.refused.iter().all(|(error, _)| *error == ErrorKind::RateLimited));
}

cases! {
    check_rate:
    a_rate_of_five_is_used_and_kept(5.1);
    a_rate_below_one_is_used_and_kept(0.4);
    a_rate_of_twenty_is_used_and_kept(20.0);
}

#[test]
fn critical_requests_are_refused_last() {
    let outcome = play(&[(0, Some(6.0))]);
    let share = |it| f64::from(outcome.started[&it]) / f64::from(outcome.offered[&it]);
    assert!(share(Importance::Critical) > 0.95, "{}", share(Importance::Critical));
    assert!(share(Importance::Normal) < 0.1, "{}", share(Importance::Normal));
}

/// The time to come back grows with the requests that have to be served before.
#[test]
fn the_time_to_come_back_fits_the_rate() {
    for (rate, at_least) in [(5.0, 1000), (10.0, 500)] {
        let outcome = play(&[(0, Some(rate))]);
        let (_, retry_after) = outcome.refused[outcome.refused.len() / 2];
        assert!(retry_after >= ms(at_least), "{retry_after:?} at {rate} a second");
        assert!(retry_after <= ms(30_000));
    }
}

#[test]
fn a_withdrawn_rate_lets_all_requests_start() {
    let outcome = play(&[(0, Some(2.0)), (10_000, None)]);
    assert!(started_between(&outcome, 0, 10_000) <= 21.0);
    assert_eq!(started_between(&outcome, 10_000, 20_000), 500.0);
}

#[test]
fn a_rate_that_changes_holds_from_then_on() {
    let outcome = play(&[(0, Some(20.0)), (8000, Some(2.0)), (14_000, Some(10.0))]);
    assert!(started_between(&outcome, 8100, 14_000) <= 13.0);
    assert!(started_between(&outcome, 14_000, 20_000) >= 54.0);
}

/// The target is asked from time to time, or it could never state another rate.
#[test]
fn a_rate_of_zero_lets_few_requests_start() {
    let outcome = play(&[(0, Some(0.0))]);
    assert!((1..=2).contains(&outcome.starts.len()), "{:?}", outcome.starts);
}
