use std::time::Duration;

use pollenlever_core::config::Importance;
use pollenlever_core::id::ServiceName;
use pollenlever_core::mesh::{
    RetryBudget, RetryBudgetSettings, RetryPriority, WeightedService, WeightedSplit,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW: Duration = Duration::from_secs(10);
const NODES: usize = 6;
/// Time for which the request rates stay constant.
const PHASE_MS: u64 = 5_000;

fn settings() -> RetryBudgetSettings {
    RetryBudgetSettings { ratio: 0.2, window: WINDOW, min_retries: 48.0 }
}

fn service() -> ServiceName {
    "balance".into()
}

const ROOT: RetryPriority = RetryPriority { importance: Importance::Normal, is_call: false };

/// A budget shared by `nodes` nodes.
fn shared_budget(settings: RetryBudgetSettings, nodes: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(settings);
    budget.set_node_count(Duration::ZERO, nodes);
    budget
}

/// Regions lose each other: each node still knows the nodes of its own region only. The budget is
/// that of all nodes together.
#[test]
fn nodes_that_lose_sight_of_each_other_keep_the_budget_together() {
    let settings = RetryBudgetSettings { min_retries: 48.0, ..settings() };
    let mut budgets: Vec<_> = (0..24).map(|_| shared_budget(settings, 24)).collect();
    let cut_at = Duration::from_secs(60);
    let mut spent = 0;
    for budget in &mut budgets {
        budget.set_node_count(cut_at, 8);
        while budget.try_spend(cut_at, &service(), ROOT, 1.0).is_granted {
            spent += 1;
        }
    }
    assert!(spent <= 48, "{spent} retries of 48");
}

/// Nodes are taken away for good: the others share what they had.
#[test]
fn nodes_that_remain_share_the_budget_of_those_that_are_gone() {
    let mut budget = shared_budget(RetryBudgetSettings { min_retries: 48.0, ..settings() }, 24);
    budget.set_node_count(Duration::from_secs(60), 8);
    let later = Duration::from_secs(2 * 3600);
    budget.set_node_count(later, 8);
    let granted = (0..48).filter(|_| budget.try_spend(later, &service(), ROOT, 1.0).is_granted);
    assert!(granted.count() >= 4);
}

#[test]
fn repeated_calls_use_up_the_budget() {
    let mut budget = shared_budget(RetryBudgetSettings { min_retries: 5.0, ..settings() }, 1);
    for _ in 0..4 {
        budget.record_repeat(Duration::ZERO, &service(), 1.0);
    }
    assert!(!budget.try_spend(Duration::ZERO, &service(), ROOT, 1.0).is_granted);
    // Counts are kept in buckets of a twentieth of the window.
    let later = WINDOW + WINDOW / 20;
    assert!(budget.try_spend(later, &service(), ROOT, 1.0).is_granted);
}

/// The request rate drops while earlier requests are retried; the retries earned before remain.
#[test]
fn requests_of_the_previous_window_earn_retries() {
    let mut budget = shared_budget(RetryBudgetSettings { min_retries: 0.0, ..settings() }, 1);
    for ms in (0..10_000).step_by(10) {
        budget.record_request(Duration::from_millis(ms), &service(), ROOT);
    }
    for ms in (10_000..18_000).step_by(20) {
        budget.record_request(Duration::from_millis(ms), &service(), ROOT);
    }
    let mut granted = 0;
    for ms in 10_000..18_000 {
        let now = Duration::from_millis(ms);
        granted += u32::from(budget.try_spend(now, &service(), ROOT, 1.0).is_granted);
    }
    assert!(granted > 140, "{granted}");
}

#[test]
fn a_retry_is_granted_only_if_the_budget_covers_its_whole_cost() {
    let mut budget = shared_budget(RetryBudgetSettings { min_retries: 5.0, ..settings() }, 1);
    assert!(!budget.try_spend(Duration::ZERO, &service(), ROOT, 5.0).is_granted);
    assert!(budget.try_spend(Duration::ZERO, &service(), ROOT, 4.0).is_granted);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// In every span of one window, the retries of all nodes together are within the limit of
    /// `ratio * requests + min_retries`, where `requests` is the largest of the counts in the span,
    /// in the span before it and in the span half a window before it. Request rates change over
    /// time and from node to node.
    #[test]
    fn retries_of_all_nodes_stay_within_the_budget(
        phases in prop::collection::vec(prop::collection::vec(0u32..60, NODES), 8),
        retries_per_request in 0u32..4,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<_> = (0..NODES).map(|_| shared_budget(settings(), NODES)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (phase, rates) in phases.iter().enumerate() {
            let mut events: Vec<(u64, usize)> = Vec::new();
            for (node, count) in rates.iter().enumerate() {
                events.extend((0..*count).map(|_| (rng.random_range(0..PHASE_MS), node)));
            }
            events.sort_unstable();
            for (at, node) in events {
                let now = Duration::from_millis(phase as u64 * PHASE_MS + at);
                nodes[node].record_request(now, &service(), ROOT);
                requests.push(now);
                for _ in 0..retries_per_request {
                    if nodes[node].try_spend(now, &service(), ROOT, 1.0).is_granted {
                        retries.push(now);
                    }
                }
            }
        }
        let count = |of: &[Duration], from: Duration, until: Duration| {
            of.iter().filter(|it| **it >= from && **it < until).count() as f64
        };
        for half_second in 0..(phases.len() as u64 * PHASE_MS / 500) {
            let start = Duration::from_millis(half_second * 500);
            let spent = count(&retries, start, start + WINDOW);
            let before = start.saturating_sub(WINDOW);
            let half_before = start.saturating_sub(WINDOW / 2);
            let earned = count(&requests, start, start + WINDOW)
                .max(count(&requests, before, start))
                .max(count(&requests, half_before, start + WINDOW / 2));
            prop_assert!(spent <= 0.2 * earned + 48.0, "{spent} for {earned} from {start:?}");
        }
    }

    /// Shares follow the weights over any sequence of choices, not only on average.
    #[test]
    fn shares_follow_the_weights(
        weights in prop::collection::vec(1u32..100, 1..6),
        phase in 0.0f64..1.0,
        choices in 1usize..400,
    ) {
        let part = |(index, weight): (usize, &u32)| WeightedService {
            service: index.to_string().into(),
            weight: f64::from(*weight),
        };
        let parts: Vec<_> = weights.iter().enumerate().map(part).collect();
        let mut split = WeightedSplit::new(&parts, phase);
        let chosen: Vec<_> = (0..choices).map(|_| split.choose().unwrap()).collect();
        let total: f64 = parts.iter().map(|it| it.weight).sum();
        for part in &parts {
            let count = chosen.iter().filter(|it| **it == part.service).count() as f64;
            let expected = choices as f64 * part.weight / total;
            prop_assert!((count - expected).abs() <= weights.len() as f64 + 1.0);
        }
    }
}

#[test]
fn services_without_a_valid_weight_are_never_chosen() {
    let part = |service: &str, weight| WeightedService { service: service.into(), weight };
    let parts = [part("a", 0.0), part("b", f64::NAN), part("c", 1.0)];
    let mut split = WeightedSplit::new(&parts, 0.5);
    assert!((0..10).all(|_| &*split.choose().unwrap() == "c"));
    assert_eq!(WeightedSplit::new(&parts[..2], 0.5).choose(), None);
}
