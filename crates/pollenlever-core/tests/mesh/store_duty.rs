//! Nodes of one region whose store serves some of them and refuses the others, on a virtual clock.

use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::mesh::{
    RouteFreshness, StoreDuty, StoreDutyChoice, WATCHERS_PER_REGION, WatchWait,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cases;

/// Shortest time of all deployments within which a version has to be in force after its confirmation.
const CONFIG_BOUND: Duration = Duration::from_millis(2500);
/// Time until all nodes have what one of them has read.
const SPREAD_TIME: Duration = Duration::from_millis(200);
const CALL_TIME: Duration = Duration::from_millis(50);
/// Age of a confirmation from which other nodes step in.
const STEP_IN_AGE: Duration = Duration::from_millis(1700);
const STEP: Duration = Duration::from_millis(10);
/// From when the store refuses some nodes.
const REFUSED_FROM: Timestamp = Duration::from_secs(10);
const END: Timestamp = Duration::from_secs(40);

#[derive(Default)]
struct Node {
    choice: StoreDutyChoice,
    freshness: RouteFreshness,
    watch_wait: WatchWait,
    next_call: Timestamp,
    calls: usize,
}

/// What a run has shown.
struct Seen {
    /// Longest time, from when the store refused nodes, between two reads that succeeded.
    longest_gap: Duration,
    /// Calls of the watchers.
    calls_of_watchers: usize,
    /// Calls of the nodes that are not watchers.
    calls_of_others: usize,
}

/// Runs `nodes` nodes, of which the store refuses those whose rank is in `refused`.
fn run(nodes: usize, refused: std::ops::Range<usize>) -> Seen {
    let mut nodes: Vec<Node> = (0..nodes).map(|_| Node::default()).collect();
    let mut last_read = REFUSED_FROM;
    let mut longest_gap = Duration::ZERO;
    let mut rng = SmallRng::seed_from_u64(40);
    let mut spreading: Vec<(Timestamp, Timestamp)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < END {
        now += STEP;
        for (_, confirmed) in spreading.extract_if(.., |(arrives, _)| *arrives <= now) {
            nodes.iter_mut().for_each(|it| it.freshness.confirm(confirmed));
        }
        for (rank, node) in nodes.iter_mut().enumerate() {
            let duty = node.choice.duty(now, rank, node.freshness.confirmed_at());
            if duty == StoreDuty::None || now < node.next_call {
                continue;
            }
            node.calls += 1;
            node.watch_wait.record_unchanged(now, node.freshness.confirmed_at());
            node.next_call = now + node.watch_wait.next(&mut rng);
            if now >= REFUSED_FROM && refused.contains(&rank) {
                node.choice.record_failure(now, now);
                continue;
            }
            node.freshness.confirm(now);
            spreading.push((now + CALL_TIME + SPREAD_TIME, now));
            longest_gap = longest_gap.max(now.saturating_sub(last_read));
            last_read = last_read.max(now);
        }
    }
    longest_gap = longest_gap.max(END - last_read);
    let (watchers, others) = nodes.split_at(WATCHERS_PER_REGION);
    let calls = |of: &[Node]| of.iter().map(|it| it.calls).sum();
    Seen { longest_gap, calls_of_watchers: calls(watchers), calls_of_others: calls(others) }
}

/// A version that is confirmed right after the last read waits for the next one, and then spreads.
fn check_bound(nodes: usize, refused: std::ops::Range<usize>) {
    let seen = run(nodes, refused);
    let in_force_after = seen.longest_gap + CALL_TIME + SPREAD_TIME;
    assert!(in_force_after <= CONFIG_BOUND, "{in_force_after:?}");
}

cases! { check_bound:
    a_version_takes_effect_while_all_watchers_are_refused => 8, 0..3;
    a_version_takes_effect_while_all_but_the_last_node_are_refused => 8, 0..7;
    a_version_takes_effect_while_most_nodes_of_a_zone_are_refused => 20, 0..19;
    a_version_takes_effect_while_one_watcher_is_served => 8, 1..3;
}

#[test]
fn nobody_steps_in_while_the_watchers_are_served() {
    assert_eq!(run(200, 0..0).calls_of_others, 0);
}

/// Calls of watchers have a price; those that end together confirm the same moment.
#[test]
fn served_watchers_call_in_turn_and_seldom() {
    let seen = run(200, 0..0);
    let waits = END.as_secs_f64() / 1.45;
    assert!(seen.calls_of_watchers as f64 <= 1.05 * waits * WATCHERS_PER_REGION as f64);
    assert!(seen.longest_gap + CALL_TIME + SPREAD_TIME <= STEP_IN_AGE, "{:?}", seen.longest_gap);
}

/// Each node tries the store once in 2.7 s at most while nobody reaches it.
#[test]
fn a_store_that_refuses_all_nodes_gets_few_calls() {
    let nodes = 200;
    let tries = ((END - REFUSED_FROM).as_secs_f64() / 2.7) as usize + 1;
    assert!(run(nodes, 0..nodes).calls_of_others <= (nodes - WATCHERS_PER_REGION) * tries);
}

/// Guards against a version that stays unknown to the only node that the store serves: its last call had
/// failed just before, and it did not try again for longer than a node may take to be in touch.
fn check_served_again(failed_call: Duration) {
    const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
    for offset in 0..60 {
        let served_from = REFUSED_FROM + Duration::from_millis(100) * offset;
        let (mut choice, mut now) = (StoreDutyChoice::default(), Duration::ZERO);
        let read_at = loop {
            now += STEP;
            if choice.duty(now, WATCHERS_PER_REGION, Duration::ZERO) == StoreDuty::None {
                continue;
            }
            if now >= served_from {
                break now;
            }
            choice.record_failure(now + failed_call, now);
            now += failed_call;
        };
        let in_force_after = read_at + CALL_TIME + SPREAD_TIME - served_from;
        assert!(in_force_after <= IN_TOUCH_AFTER, "{in_force_after:?}, served at {served_from:?}");
    }
}

cases! { check_served_again:
    a_node_that_was_refused_reads_in_time_once_it_is_served => Duration::from_millis(50);
    a_node_whose_call_timed_out_reads_in_time_once_it_is_served => Duration::from_secs(2);
}
