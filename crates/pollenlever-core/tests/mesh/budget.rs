use std::time::Duration;

use pollenlever_core::id::ServiceName;
use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings, WeightedService, WeightedSplit};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn settings() -> RetryBudgetSettings {
    RetryBudgetSettings { ratio: 0.2, window: WINDOW, slack: 48.0 }
}

fn service() -> ServiceName {
    "balance".into()
}

#[test]
fn calls_of_a_repeat_use_up_the_budget() {
    let mut budget = RetryBudget::new(RetryBudgetSettings { slack: 5.0, ..settings() });
    for _ in 0..4 {
        budget.charge(Duration::ZERO, &service(), 1.0);
    }
    assert!(!budget.take(Duration::ZERO, &service(), 1.0, 1));
    let later = WINDOW + Duration::from_millis(1);
    assert!(budget.take(later, &service(), 1.0, 1));
}

#[test]
fn a_dear_retry_needs_room_for_all_that_it_repeats() {
    let mut budget = RetryBudget::new(RetryBudgetSettings { slack: 5.0, ..settings() });
    assert!(!budget.take(Duration::ZERO, &service(), 5.0, 1));
    assert!(budget.take(Duration::ZERO, &service(), 4.0, 1));
}

proptest! {
    /// Over any window, all nodes together keep the common bound of requests and slack.
    #[test]
    fn nodes_keep_the_common_budget(
        events in prop::collection::vec((0usize..6, 0u64..40_000, any::<bool>()), 0..2_000),
    ) {
        let mut events = events;
        events.sort_by_key(|(_, at, _)| *at);
        let mut nodes: Vec<_> = (0..6).map(|_| RetryBudget::new(settings())).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (node, at, is_request) in events {
            let now = Duration::from_millis(at);
            if is_request {
                nodes[node].count_request(now, &service());
                requests.push(now);
            } else if nodes[node].take(now, &service(), 1.0, 6) {
                retries.push(now);
            }
        }
        for &end in &retries {
            let within = |it: &&Duration| **it <= end && **it + WINDOW >= end;
            let spent = retries.iter().filter(within).count() as f64;
            let earned = requests.iter().filter(within).count() as f64;
            prop_assert!(spent <= 0.2 * earned + 48.0);
        }
    }

    /// Shares hold over every run of choices, not only on average.
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
fn services_without_a_weight_get_nothing() {
    let part = |service: &str, weight| WeightedService { service: service.into(), weight };
    let parts = [part("a", 0.0), part("b", f64::NAN), part("c", 1.0)];
    let mut split = WeightedSplit::new(&parts, 0.5);
    assert!((0..10).all(|_| &*split.choose().unwrap() == "c"));
    assert_eq!(WeightedSplit::new(&parts[..2], 0.5).choose(), None);
}
