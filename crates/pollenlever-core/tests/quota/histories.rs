use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use pollenlever_core::Timestamp;

use crate::cases;
use crate::cluster::Cluster;
use crate::faults::{Faults, Mechanism, any_faults, faults_without};

/// Histories of the check.
const HISTORIES: u32 = 60;
/// Histories in which a missing mechanism must show.
const SEARCHED_HISTORIES: u64 = 60;
const DURATION: Duration = Duration::from_secs(40);
/// Requests of a spike.
const SPIKE: u64 = 60;
/// Name, requests per second and burst of each workspace.
const WORKSPACES: [(&str, f64, f64); 4] =
    [("padova", 60.0, 30.0), ("verona", 8.0, 1.0), ("trento", 30.0, 90.0), ("bolzano", 10.0, 40.0)];

cases! {
    quotas_hold_with_any_faults => assert_bound_holds();
    units_are_used_twice_without_tickets => assert_violated(Mechanism::Tickets);
    units_are_used_twice_without_sequence_numbers => assert_violated(Mechanism::Sequences);
    units_are_used_twice_without_the_wait => assert_violated(Mechanism::WaitBeforeDelegatingElsewhere);
    units_are_used_twice_without_lowering => assert_violated(Mechanism::LoweringBeforeWrite);
    units_are_used_twice_without_announcements => assert_violated(Mechanism::Announcements);
    units_are_used_twice_without_revisions => assert_violated(Mechanism::Revisions);
    quotas_are_exceeded_without_grant_numbers => assert_violated(Mechanism::GrantNumbers);
}

fn assert_bound_holds() {
    let config = Config { cases: HISTORIES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let res = runner.run(&(any::<u64>(), any_faults()), |(seed, faults)| {
        let cluster = history(seed, faults);
        prop_assert_eq!(violation(&cluster), None);
        let used: usize = cluster.uses.values().map(Vec::len).sum();
        prop_assert!(used > 500, "only {} requests ran", used);
        Ok(())
    });
    res.unwrap();
}

/// Asserts that some history violates a bound without the mechanism, so that the check needs it.
fn assert_violated(without: Mechanism) {
    let violates = |seed: &u64| violation(&history(*seed, faults_without(without))).is_some();
    let found = (0..SEARCHED_HISTORIES).find(violates);
    println!("without {without:?}: first violation with seed {found:?}");
    assert!(found.is_some(), "the check finds nothing without the mechanism");
}

/// Callers at random nodes send three times the quotas, with pauses in which the bursts fill, and
/// those of one workspace in spikes.
fn history(seed: u64, faults: Faults) -> Cluster {
    let nodes = faults.nodes;
    let mut cluster = Cluster::new(seed, nodes, &WORKSPACES, faults);
    let mut rng = SmallRng::seed_from_u64(seed ^ 1);
    for (name, rate, _) in WORKSPACES.into_iter().filter(|it| it.0 != "bolzano") {
        let mut at = Duration::from_secs(3);
        while at < DURATION {
            at += Duration::from_secs_f64(rng.random_range(0.0..2.0 / (3.0 * rate)));
            if rng.random_bool(1.0 / (9.0 * rate)) {
                at += Duration::from_secs_f64(rng.random_range(0.0..3.0));
            }
            cluster.request(at, rng.random_range(0..nodes), name);
        }
    }
    let mut at = Duration::from_secs(3);
    while at < DURATION {
        at += Duration::from_secs_f64(rng.random_range(0.5..4.0));
        let node = rng.random_range(0..nodes);
        (0..SPIKE).for_each(|it| cluster.request(at + Duration::from_millis(it), node, "bolzano"));
    }
    cluster.schedule_faults(DURATION);
    cluster.run_until(DURATION);
    cluster
}

/// What exceeds a bound, if anything does.
fn violation(cluster: &Cluster) -> Option<String> {
    if cluster.breach.is_some() {
        return cluster.breach.clone();
    }
    WORKSPACES.into_iter().find_map(|(name, rate, burst)| {
        let excess = excess(cluster.uses.get(name)?, rate, burst);
        (excess > 1.0).then(|| format!("{name} exceeds its quota by {excess:.2}"))
    })
}

/// Highest number of requests, over all windows, above rate x (window + 0.5 s) + burst.
fn excess(uses: &[Timestamp], rate: f64, burst: f64) -> f64 {
    let mut least = f64::INFINITY;
    let mut most = f64::NEG_INFINITY;
    for (index, at) in uses.iter().enumerate() {
        let ahead = index as f64 - rate * at.as_secs_f64();
        least = least.min(ahead);
        most = most.max(ahead - least + 1.0);
    }
    most - rate * 0.5 - burst
}
