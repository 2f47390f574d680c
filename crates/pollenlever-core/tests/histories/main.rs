//! Simulations of several nodes with faults on a virtual clock.
//!
//! Each simulation records a history of what clients and targets saw, on which the checks run.

mod client;
mod faults;
mod history;
mod machine;
mod policy_without;
mod setup;
mod simulation;

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use pollenlever_core::answer::ErrorKind;

use client::ClientRequest;
use faults::{FaultEvent, Faults, any_faults, message_faults, no_faults};
use history::History;
use setup::{BUDGET, MakePolicy};
use simulation::Simulation;

/// Simulated histories per check.
const HISTORIES: u32 = 60;
/// Simulated histories per check of an overload, which has ten times as many requests.
const OVERLOADS: u32 = 10;
/// Requests per history.
const REQUESTS: usize = 200;
/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;
/// Time within which all nodes learn of a crash.
const SPREAD_TIME: Duration = Duration::from_millis(500);
/// Charges among the requests of an overload.
const CHARGES_IN_OVERLOAD: usize = 300;

/// Makes each case a test of its own.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    charges_run_at_most_once => assert_satisfied(charges, setup::node, any_faults(), check_charges);
    charges_run_twice_with_the_naive_policy =>
        assert_violated(charges, setup::naive, |it| it.most_runs("charge") > 1);
    charges_run_twice_without_seals =>
        assert_violated(charges, setup::without_seals, |it| it.most_runs("charge") > 1);
    not_run_is_false_with_the_naive_policy =>
        assert_violated(charges, setup::naive, |it| !it.false_not_run().is_empty());

    answers_of_a_reused_key_stay_apart =>
        assert_satisfied(reused_keys, setup::node, any_faults(), check_charges);
    answers_of_a_reused_key_mix_without_digests =>
        assert_violated(reused_keys, setup::without_digests, |it| it.mixed_answers() > 0);

    retries_stay_within_the_budget =>
        assert_satisfied(chains, setup::node, any_faults(), check_chains);
    retries_exceed_the_budget_with_the_naive_policy =>
        assert_violated(chains, setup::naive, |it| it.over_budget(BUDGET) > 0);
    retries_exceed_the_budget_without_grants =>
        assert_violated(chains, setup::without_grants, |it| it.over_budget(BUDGET) > 0);

    orders_inside_chains_run_at_most_once =>
        assert_satisfied(sales, setup::node, any_faults(), check_sales);
    orders_inside_chains_run_twice_with_the_naive_policy =>
        assert_violated(sales, setup::naive, |it| it.most_runs("order") > 1);

    planned_replacements_leave_nothing_unknown =>
        assert_satisfied(leaves, setup::node, no_faults(), check_replacements);

    leaving_nodes_interrupt_no_runs => assert_satisfied(leaves, setup::node, message_faults(), check_leaves);
    leaving_nodes_interrupt_runs_without_drain =>
        assert_violated(leaves, setup::without_drain, |it| it.interrupted_runs > 0);
    leaving_nodes_start_work_without_drain =>
        assert_violated(leaves, setup::without_drain, |it| it.late_starts > 0);

    poison_requests_are_refused_and_others_run =>
        assert_satisfied(poisons, setup::node, no_faults(), check_poisons);
    poison_requests_keep_running_with_the_naive_policy =>
        assert_violated(poisons, setup::naive, |it| it.late_poison(MAX_CRASHES, SPREAD_TIME) > 0);
    poison_requests_keep_running_without_suspicion =>
        assert_violated(poisons, setup::without_suspicion, |it| {
            it.late_poison(MAX_CRASHES, SPREAD_TIME) > 0
        });

    charges_are_shed_last =>
        assert_satisfied_in(OVERLOADS, overload, setup::node, no_faults(), check_overload);
    charges_are_late_with_fifo_admission =>
        assert_violated(overload, setup::fifo_node, |it| {
            it.answered("charge") < CHARGES_IN_OVERLOAD
        });
}

/// Simulates histories with fixed seeds and checks that each one satisfies `check`.
fn assert_satisfied(
    simulate: fn(u64, Faults, MakePolicy) -> History,
    make_policy: MakePolicy,
    faults: impl Strategy<Value = Faults>,
    check: fn(&History) -> Result<(), TestCaseError>,
) {
    assert_satisfied_in(HISTORIES, simulate, make_policy, faults, check);
}

fn assert_satisfied_in(
    cases: u32,
    simulate: fn(u64, Faults, MakePolicy) -> History,
    make_policy: MakePolicy,
    faults: impl Strategy<Value = Faults>,
    check: fn(&History) -> Result<(), TestCaseError>,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = (any::<u64>(), faults);
    let res = runner.run(&histories, |(seed, faults)| check(&simulate(seed, faults, make_policy)));
    res.unwrap();
}

/// Asserts that a violation occurs in some history, so that the check can detect a missing mechanism.
fn assert_violated(
    simulate: fn(u64, Faults, MakePolicy) -> History,
    make_policy: MakePolicy,
    is_violated: fn(&History) -> bool,
) {
    let faults = Faults {
        request_loss: 0.05,
        reply_loss: 0.05,
        late: 0.1,
        duplicate: 0.02,
        not_sent: 0.02,
        kills: 2,
        freezes: 2,
        crashes: 2,
        cuts: 2,
    };
    let found = (0..20).any(|seed| is_violated(&simulate(seed, faults.clone(), make_policy)));
    assert!(found, "the check finds nothing without the mechanism");
}

/// Charges, mixed with idempotent requests; clients resend through random nodes.
fn charges(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..REQUESTS {
        let at = Duration::from_millis(100 + 60 * number as u64);
        simulation.request(at, ClientRequest::charge(number));
        if number % 4 == 0 {
            simulation.request(at, ClientRequest::get(number));
        }
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

fn check_charges(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.most_runs("charge").max(1), 1);
    prop_assert_eq!(history.false_not_run(), Vec::<&Bytes>::new());
    prop_assert_eq!(history.mixed_answers(), 0);
    let answered = history.answered("charge");
    prop_assert!(answered > REQUESTS / 3, "answered {answered}: {:?}", history.errors);
    Ok(())
}

/// Chains of calls 10 levels deep; targets repeat failed calls at each level and clients resend.
fn chains(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..20 {
        let at = Duration::from_millis(100 + 500 * number as u64);
        simulation.request(at, ClientRequest::deep(number, 10));
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

fn check_chains(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.over_budget(BUDGET), 0);
    prop_assert_eq!(history.false_not_run(), Vec::<&Bytes>::new());
    prop_assert_eq!(history.mixed_answers(), 0);
    Ok(())
}

/// Charges, every second of which wrongly uses the key of the one before.
fn reused_keys(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..REQUESTS {
        let at = Duration::from_millis(100 + 60 * number as u64);
        let key_of = (number % 2 == 1).then(|| number - 1);
        simulation.request(at, ClientRequest { key_of, ..ClientRequest::charge(number) });
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

/// Idempotent requests whose targets place orders.
fn sales(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..REQUESTS / 2 {
        let at = Duration::from_millis(100 + 120 * number as u64);
        simulation.request(at, ClientRequest::sell(number));
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

fn check_sales(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.most_runs("order"), 1);
    prop_assert_eq!(history.false_not_run(), Vec::<&Bytes>::new());
    prop_assert!(history.answered("deep") > REQUESTS / 6);
    Ok(())
}

/// Charges and idempotent requests while three nodes leave one after another.
fn leaves(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..REQUESTS {
        let at = Duration::from_millis(100 + 60 * number as u64);
        simulation.request(at, ClientRequest::charge(number));
        simulation.request(at, ClientRequest::get(number));
    }
    for index in 0..3 {
        simulation
            .schedule_fault(Duration::from_secs(3 + 2 * index as u64), FaultEvent::Leave(index));
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

fn check_leaves(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.completed_leaves, 3);
    prop_assert_eq!(history.interrupted_runs, 0);
    prop_assert_eq!(history.late_starts, 0);
    check_charges(history)
}

fn check_replacements(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.requests_with_error(ErrorKind::HomeGone), Vec::<&Bytes>::new());
    prop_assert_eq!(history.requests_with_error(ErrorKind::OutcomeUnknown), Vec::<&Bytes>::new());
    // A leaving entry refuses calls; a few clients give up instead of trying another node.
    let gave_up = REQUESTS - history.answered("charge");
    prop_assert!(
        gave_up <= history.requests_with_error(ErrorKind::Leaving).len(),
        "{:?}",
        history.errors
    );
    prop_assert!(gave_up <= 5, "{:?}", history.errors);
    check_leaves(history)
}

/// A few requests that crash their targets, mixed with many that do not.
fn poisons(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..REQUESTS {
        let at = Duration::from_millis(100 + 30 * number as u64);
        simulation.request(at, ClientRequest::get(number));
        if number % 50 == 25 {
            simulation.request(at, ClientRequest::poison(number));
        }
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

fn check_poisons(history: &History) -> Result<(), TestCaseError> {
    prop_assert_eq!(history.late_poison(MAX_CRASHES, SPREAD_TIME), 0);
    let suspects = history.requests_with_error(ErrorKind::Suspect);
    prop_assert!(suspects.iter().all(|it| it.starts_with(b"poison")), "{suspects:?}");
    prop_assert!(history.answered("get") >= REQUESTS - 2, "{:?}", history.errors);
    Ok(())
}

/// More requests than the targets can run, though not more charges than they can run.
fn overload(seed: u64, faults: Faults, make_policy: MakePolicy) -> History {
    let mut simulation = Simulation::new(seed, faults, make_policy);
    for number in 0..2_000 {
        let at = Duration::from_micros(100_000 + 500 * number as u64);
        simulation.request(at, ClientRequest { sends_left: 1, ..ClientRequest::get(number) });
    }
    for number in 0..CHARGES_IN_OVERLOAD {
        let at = Duration::from_micros(100_000 + 3_300 * number as u64);
        simulation.request(at, ClientRequest { sends_left: 1, ..ClientRequest::charge(number) });
    }
    simulation.run_until(Duration::from_secs(60));
    simulation.history
}

#[allow(dead_code)]
fn check_overload(history: &History) -> Result<(), TestCaseError> {
    prop_assert!(history.answered("get") < 2_000, "no overload");
    prop_assert_eq!(history.unfair_sheds(), 0);
    Ok(())
}
