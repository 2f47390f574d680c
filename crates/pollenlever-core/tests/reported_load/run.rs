use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use pollenlever_core::config::Importance;
use pollenlever_core::id::{NodeId, ServiceName};
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::message::GateLoad;
use pollenlever_core::routing::{RouteRequest, Routing, RoutingSettings, TwoChoices};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fleet::{Fleet, Micros, TARGETS, ZONES};
use super::results::Results;
use super::target::Target;

const OWNERS: usize = 20;
/// Length of a simulation, and its first part of which nothing is counted.
const LASTS: Duration = Duration::from_secs(13);
pub(crate) const WARM_UP: Duration = Duration::from_secs(3);
/// One-way delay within a zone and between zones.
const ZONE_DELAY: Micros = 500;
const REGION_DELAY: Micros = 1_500;

/// Slowdown in percent that a target reports at a time; 0 for none.
pub(crate) type Report = fn(number: usize, target: &Target, now: Micros) -> u16;

/// How a request gets its target.
#[derive(Clone, Copy)]
pub(crate) enum Placement {
    /// By the owner, from the replies that it gets.
    Owner(Report),
    /// The target where it ends first, by full knowledge of all work and noise.
    FullKnowledge,
}

/// One simulation.
pub(crate) struct Run {
    pub(crate) seed: u64,
    /// Requests per second, as a fraction of what the targets can run.
    pub(crate) load: f64,
    pub(crate) placement: Placement,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sent { owner: usize },
    Arrived { req: usize },
    Ended { req: usize },
    Replied { req: usize },
}

struct Request {
    owner: usize,
    target: usize,
    sent: Micros,
    work_ms: f64,
    load: GateLoad,
}

struct Simulation {
    run: Run,
    fleet: Fleet,
    owners: Vec<TwoChoices>,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    requests: BTreeMap<usize, Request>,
    rng: SmallRng,
    results: Results,
}

impl Run {
    /// Adds what the simulation shows to `results`.
    pub(crate) fn add_to(self, results: Results) -> Results {
        let fleet = Fleet::new(self.seed, LASTS + Duration::from_secs(60));
        let owners = (0..OWNERS).map(owner).collect();
        let rng = SmallRng::seed_from_u64(self.seed + 1000);
        let (events, requests) = Default::default();
        let mut it = Simulation { run: self, fleet, owners, events, requests, rng, results };
        it.events.push(Reverse((0, Event::Sent { owner: 0 })));
        while let Some(Reverse((now, event))) = it.events.pop() {
            it.handle(now, event);
        }
        it.results
    }
}

impl Simulation {
    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Sent { owner } => self.send(now, owner),
            Event::Arrived { req } => {
                let it = &self.requests[&req];
                let end = self.fleet.targets[it.target].start(now, it.work_ms);
                self.push(end, Event::Ended { req });
            }
            Event::Ended { req } => {
                let it = self.requests.get_mut(&req).unwrap();
                let target = &mut self.fleet.targets[it.target];
                let percent = match self.run.placement {
                    Placement::Owner(report) => report(it.target, target, now),
                    Placement::FullKnowledge => 0,
                };
                it.load = target.load(now, percent);
                let delay = delay(it.owner, it.target);
                self.push(now + delay, Event::Replied { req });
            }
            Event::Replied { req } => {
                let it = self.requests.remove(&req).unwrap();
                let latency = Duration::from_micros(now - it.sent);
                let now = Duration::from_micros(now);
                self.owners[it.owner].record_reply(now, node(it.target), latency, &it.load, 100);
                self.results.record_reply(Duration::from_micros(it.sent), latency);
            }
        }
    }

    fn send(&mut self, now: Micros, owner: usize) {
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln();
        let gap_s = gap_s / (self.fleet.capacity() * self.run.load);
        let next_owner = self.rng.random_range(0..OWNERS);
        let next = now + (gap_s * 1e6) as Micros;
        if next < LASTS.as_micros() as Micros {
            self.push(next, Event::Sent { owner: next_owner });
        }
        let work_ms = super::WORK_MS * self.rng.random_range(0.5..1.5);
        let target = match self.run.placement {
            Placement::Owner(_) => choose(&mut self.owners[owner], now),
            Placement::FullKnowledge => self.first_to_end(now, owner, work_ms),
        };
        let waiting = self.fleet.targets[target].load(now, 0).queued;
        let is_slowed = self.fleet.targets[target].slowdown(now) > 1.0;
        self.results.record_choice(target, is_slowed, waiting);
        let req = self.results.sent();
        let load = GateLoad::default();
        self.requests.insert(req, Request { owner, target, sent: now, work_ms, load });
        self.push(now + delay(owner, target), Event::Arrived { req });
    }

    fn first_to_end(&self, now: Micros, owner: usize, work_ms: f64) -> usize {
        let end = |it: &usize| {
            let delay = delay(owner, *it);
            self.fleet.targets[*it].end(now + delay, work_ms) + delay
        };
        (0..TARGETS).min_by_key(end).expect("there are targets")
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, event)));
    }
}

fn delay(owner: usize, target: usize) -> Micros {
    if owner % ZONES == target % ZONES { ZONE_DELAY } else { REGION_DELAY }
}

fn node(number: usize) -> NodeId {
    let addr = format!("127.0.0.1:{}", 7000 + number).parse().unwrap();
    NodeId { addr, incarnation: number as u64 }
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn owner(number: usize) -> TwoChoices {
    let (me, settings) = (node(100 + number), RoutingSettings::default());
    let mut it = TwoChoices::new(me, "region".into(), zone(number).into(), settings);
    it.update_members(Duration::ZERO, &(0..TARGETS).map(member).collect::<Vec<_>>());
    it
}

fn member(number: usize) -> Member {
    Member {
        node: node(number),
        entry: "127.0.0.1:1".parse().unwrap(),
        version: 1,
        region: "region".into(),
        zone: zone(number).into(),
        service: Some("charging".into()),
        state: TargetState::Ready,
        slots: Target::SLOTS as u32,
    }
}

fn choose(routing: &mut TwoChoices, now: Micros) -> usize {
    let now = Duration::from_micros(now);
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
