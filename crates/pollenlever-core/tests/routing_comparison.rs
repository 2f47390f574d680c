//! Compares algorithms that choose a target; `--nocapture` prints the figures.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use pollenlever_core::config::Importance;
use pollenlever_core::id::{NodeId, ServiceName};
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::message::GateLoad;
use pollenlever_core::routing::{
    BoxRouting, ChoiceKind, RoundRobin, RouteRequest, RoutingSettings, TwoChoices,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Defines one test for each named case of a function.
macro_rules! cases {
    ($function:ident: $($name:ident($($arg:expr),*);)+) => {
        $(#[test] fn $name() { $function($($arg),*); })+
    };
}

const TARGETS: usize = 6;
const SLOTS: usize = 10;
const ENTRIES: usize = 6;
/// Service time of a target; the first target takes three times as long.
const SERVICE_MS: u64 = 20;
const REQUESTS: usize = 40_000;

/// A simulated target that runs requests in order of arrival.
#[derive(Default)]
struct Target {
    /// Waiting requests: entry and time of sending in ms.
    queue: VecDeque<(usize, u64)>,
    in_flight: usize,
}

impl Target {
    fn load(&self) -> GateLoad {
        let (in_flight, queued) = (self.in_flight as u32, self.queue.len() as u32);
        GateLoad { in_flight, queued, limit: SLOTS as u32, ..GateLoad::default() }
    }
}

fn node(number: usize) -> NodeId {
    let addr = format!("127.0.0.1:{}", 7000 + number).parse().unwrap();
    NodeId { addr, incarnation: number as u64 }
}

fn member(number: usize) -> Member {
    Member {
        node: node(number),
        entry: "127.0.0.1:1".parse().unwrap(),
        version: 1,
        region: "region".into(),
        zone: "zone".into(),
        service: Some("charging".into()),
        state: TargetState::Ready,
        slots: SLOTS as u32,
    }
}

fn of_kind(choice: ChoiceKind) -> impl Fn(usize) -> BoxRouting {
    move |entry| {
        let settings = RoutingSettings { seed: entry as u64, choice, ..RoutingSettings::default() };
        Box::new(TwoChoices::new(node(100 + entry), "region".into(), "zone".into(), settings))
    }
}

fn round_robin(_entry: usize) -> BoxRouting {
    Box::new(RoundRobin::default())
}

/// Sorted latencies in ms at `load`, a fraction of the capacity, with independent routing in each
/// entry (a node that receives requests from callers).
fn latencies(load: f64, routing: impl Fn(usize) -> BoxRouting) -> Vec<u64> {
    let mut entries: Vec<BoxRouting> = (0..ENTRIES).map(routing).collect();
    for entry in &mut entries {
        entry.update_members(Duration::ZERO, &(0..TARGETS).map(member).collect::<Vec<_>>());
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let relative_capacity = (TARGETS - 1) as f64 + 1.0 / 3.0;
    let gap_ms = SERVICE_MS as f64 / (SLOTS as f64 * relative_capacity * load);
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>> = BinaryHeap::new();
    let mut latencies = Vec::new();
    let mut arrival = 0.0;
    for now in 0.. {
        let at = Duration::from_millis(now);
        while let Some(&Reverse((end, target, entry, sent))) = ends.peek() {
            if end > now {
                break;
            }
            ends.pop();
            targets[target].in_flight -= 1;
            latencies.push(now - sent);
            let (latency, load) = (Duration::from_millis(now - sent), targets[target].load());
            entries[entry].record_reply(at, node(target), latency, &load, 100);
        }
        while arrival <= now as f64 && latencies.len() + ends.len() < REQUESTS {
            let entry = rng.random_range(0..ENTRIES);
            let target = choose(entries[entry].as_mut(), at);
            targets[target].queue.push_back((entry, now));
            arrival -= (1.0 - rng.random::<f64>()).ln() * gap_ms;
        }
        for (number, target) in targets.iter_mut().enumerate() {
            let time = if number == 0 { 3 * SERVICE_MS } else { SERVICE_MS };
            while target.in_flight < SLOTS {
                let Some((entry, sent)) = target.queue.pop_front() else { break };
                target.in_flight += 1;
                ends.push(Reverse((now + time, number, entry, sent)));
            }
        }
        if ends.is_empty() && latencies.len() >= REQUESTS {
            break;
        }
    }
    latencies.sort_unstable();
    latencies
}

fn choose(routing: &mut dyn pollenlever_core::routing::Routing, now: Duration) -> usize {
    let service: ServiceName = "charging".into();
    let req = RouteRequest {
        service: &service,
        importance: Importance::Normal,
        chain: "127.0.0.1:7101@1f~2a".parse().unwrap(),
        depth: 0,
        bytes: 100,
        tried: &[],
    };
    let chosen = routing.choose(now, &req).unwrap();
    routing.record_sent(now, chosen, 100);
    chosen.incarnation as usize
}

fn compare(name: &str, routing: impl Fn(usize) -> BoxRouting) {
    for load in [0.6, 0.8, 0.95] {
        let all = latencies(load, &routing);
        let mean = all.iter().sum::<u64>() as f64 / all.len() as f64;
        let p99 = all[all.len() * 99 / 100];
        println!("{name} load={load}: mean_ms={mean:.1} p99_ms={p99}");
    }
}

cases! {
    compare:
    compare_two_choices("two-choices", of_kind(ChoiceKind::TwoRandom));
    compare_least_in_flight("least-in-flight", of_kind(ChoiceKind::LeastInFlight));
    compare_round_robin("round-robin", round_robin);
}

#[test]
fn two_choices_avoid_a_slow_target() {
    let mean = |it: Vec<u64>| it.iter().sum::<u64>() as f64 / it.len() as f64;
    let two_choices_ms = mean(latencies(0.8, of_kind(ChoiceKind::TwoRandom)));
    assert!(two_choices_ms < 0.5 * mean(latencies(0.8, round_robin)), "{two_choices_ms} ms");
}
