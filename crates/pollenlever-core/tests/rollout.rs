//! Tests of the rollout of configurations on a virtual clock: version order, stale reads, restarts
//! and message loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{ExchangeId, NodeId};
use pollenlever_core::policy::Policy;
use pollenlever_core::rollout::{
    ConfigMessage, ConfigTable, Rollout, RolloutAction, RolloutEvent, RolloutSettings,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the virtual clock; due nodes get a tick at each step.
const TICK: Duration = Duration::from_millis(25);

fn config(service: &str, version: u64) -> ServiceConfig {
    ServiceConfig { service: service.into(), version, ..ServiceConfig::default() }
}

/// Whether each version is higher than the one before.
fn is_ordered(history: &[u64]) -> bool {
    history.windows(2).all(|pair| pair[0] < pair[1])
}

/// A store with a configuration of the service `balance`. While `is_stale` is set, every other read
/// returns `stale_version`.
#[derive(Default)]
struct Store {
    version: u64,
    stale_version: u64,
    is_stale: bool,
    is_down: bool,
    calls: u64,
}

impl Store {
    fn read(&mut self) -> RolloutEvent {
        self.calls += 1;
        if self.is_down {
            return RolloutEvent::StoreFailed;
        }
        let is_stale = self.is_stale && self.calls % 2 == 1;
        let version = if is_stale { self.stale_version } else { self.version };
        let configs = (version > 0).then(|| config("balance", version)).into_iter().collect();
        RolloutEvent::Stored { revision: version, configs }
    }
}

struct Node {
    machine: Rollout,
    started: Timestamp,
    watch: Option<(u64, Timestamp)>,
    /// Versions of `balance` in the order in which they came into force, across restarts.
    history: Vec<u64>,
}

struct Net {
    now: Timestamp,
    nodes: BTreeMap<SocketAddr, Node>,
    store: Store,
    watchers: u16,
    loss: f64,
    rng: SmallRng,
}

fn id(number: u16) -> NodeId {
    NodeId { addr: SocketAddr::from(([10, 0, 0, 1], 7100 + number)), incarnation: 1 }
}

impl Net {
    fn new(count: u16, seed: u64) -> Net {
        let mut net = Net {
            now: Timestamp::ZERO,
            nodes: BTreeMap::new(),
            store: Store::default(),
            watchers: 2,
            loss: 0.0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for number in 0..count {
            net.start(number, count);
        }
        net.run(Duration::from_secs(3));
        net
    }

    /// Starts or restarts a node that has links to the next two.
    fn start(&mut self, number: u16, count: u16) {
        let machine = Rollout::new(RolloutSettings::default(), self.rng.random());
        let addr = id(number).addr;
        let history = self.nodes.remove(&addr).map(|it| it.history).unwrap_or_default();
        let node = Node { machine, started: self.now, watch: None, history };
        self.nodes.insert(addr, node);
        let links = [1, 2].map(|step| id((number + step) % count)).to_vec();
        let watches = number < self.watchers;
        self.report(addr, RolloutEvent::Peers { links, watches });
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for at in self.nodes.keys().copied().collect::<Vec<_>>() {
                self.end_watch(at);
                let node = &self.nodes[&at];
                if node.machine.next_wakeup().is_some_and(|due| due <= self.now - node.started) {
                    self.report(at, RolloutEvent::Tick);
                }
            }
        }
    }

    fn end_watch(&mut self, at: SocketAddr) {
        let Some((since, until)) = self.nodes[&at].watch else { return };
        if self.store.version > since || until <= self.now || self.store.is_down {
            self.nodes.get_mut(&at).unwrap().watch = None;
            let stored = self.store.read();
            self.report(at, stored);
        }
    }

    fn report(&mut self, at: SocketAddr, event: RolloutEvent) -> Option<ConfigMessage> {
        let node = self.nodes.get_mut(&at)?;
        let mut actions = Vec::new();
        node.machine.handle(self.now - node.started, event, &mut actions);
        let mut reply = None;
        for action in actions {
            match action {
                RolloutAction::Reply(message) => reply = Some(message),
                other => self.perform(at, other),
            }
        }
        reply
    }

    fn perform(&mut self, at: SocketAddr, action: RolloutAction) {
        match action {
            RolloutAction::InForce(cfg) => {
                self.nodes.get_mut(&at).unwrap().history.push(cfg.version);
            }
            RolloutAction::List => {
                let stored = self.store.read();
                self.report(at, stored);
            }
            RolloutAction::Watch { since, timeout } => {
                let until = self.now + timeout;
                self.nodes.get_mut(&at).unwrap().watch = Some((since, until));
            }
            RolloutAction::Send { exchange, to, message, .. } => {
                self.exchange(at, exchange, to, message);
            }
            RolloutAction::Reply(_) => {}
        }
    }

    fn exchange(
        &mut self,
        at: SocketAddr,
        exchange: ExchangeId,
        to: NodeId,
        message: ConfigMessage,
    ) {
        let from = NodeId { addr: at, incarnation: 1 };
        let is_lost = self.rng.random_bool(self.loss);
        let reply =
            if is_lost { None } else { self.report(to.addr, RolloutEvent::Message(from, message)) };
        let event = match reply {
            Some(reply) if !self.rng.random_bool(self.loss) => RolloutEvent::Reply(exchange, reply),
            _ => RolloutEvent::Failed(exchange),
        };
        self.report(at, event);
    }

    fn is_everywhere(&self, version: u64) -> bool {
        self.nodes.values().all(|it| it.machine.table().version("balance") == version)
    }

    fn assert_ordered(&self) {
        for (at, node) in &self.nodes {
            assert!(is_ordered(&node.history), "{at}: {:?}", node.history);
        }
    }
}

/// Defines a test that runs its body on a settled network of 12 nodes, once per seed.
macro_rules! case {
    ($name:ident, |$net:ident| $body:block) => {
        #[test]
        fn $name() {
            for seed in 1..=5 {
                let mut $net = Net::new(12, seed);
                $body
                $net.assert_ordered();
            }
        }
    };
}

case!(an_update_is_everywhere_within_two_seconds, |net| {
    net.store.version = 7;
    net.run(Duration::from_secs(2));
    assert!(net.is_everywhere(7));
});

case!(updates_reach_all_nodes_despite_message_loss, |net| {
    net.loss = 0.3;
    for version in 1..=20 {
        net.store.version = version;
        net.run(Duration::from_millis(500));
    }
    net.run(Duration::from_secs(12));
    assert!(net.is_everywhere(20));
});

case!(a_node_restarted_while_the_store_is_down_gets_the_configuration_from_peers, |net| {
    net.store.version = 7;
    net.run(Duration::from_secs(2));
    net.store.is_down = true;
    for number in 0..12 {
        net.start(number, 12);
        net.run(Duration::from_millis(500));
        let node = &net.nodes[&id(number).addr];
        assert_eq!(node.machine.table().version("balance"), 7);
    }
    for node in net.nodes.values_mut() {
        node.history.dedup(); // the restart brings the same version into force again
    }
    net.store.is_down = false;
    net.store.version = 8;
    net.run(Duration::from_secs(8));
    assert!(net.is_everywhere(8));
});

case!(stale_reads_after_a_restart_do_not_bring_back_an_old_version, |net| {
    net.store.version = 7;
    net.run(Duration::from_secs(2));
    (net.store.stale_version, net.store.is_stale) = (7, true);
    net.store.version = 9;
    net.run(Duration::from_secs(80));
    assert!(net.is_everywhere(9));
    for number in 0..4 {
        net.store.calls = 0; // the next read is stale
        net.start(number, 12);
        net.run(Duration::from_secs(3));
    }
    assert!(net.is_everywhere(9));
    for node in net.nodes.values_mut() {
        node.history.dedup();
    }
});

case!(store_calls_do_not_grow_with_the_number_of_nodes, |net| {
    net.store.calls = 0;
    net.run(Duration::from_secs(120));
    let small = net.store.calls;
    let mut large = Net::new(48, 1);
    large.store.calls = 0;
    large.run(Duration::from_secs(120));
    assert!(large.store.calls <= small + 2, "{small} calls grew to {}", large.store.calls);
});

#[test]
fn without_peers_the_answer_of_the_store_is_applied_after_the_grace_period() {
    let mut net = Net::new(1, 1);
    net.store.version = 3;
    net.run(Duration::from_secs(3));
    assert!(net.is_everywhere(3));
}

/// Versions that come into force when `apply` takes these deliveries.
fn history(deliveries: &[u64], mut apply: impl FnMut(ServiceConfig) -> bool) -> Vec<u64> {
    deliveries.iter().copied().filter(|version| apply(config("balance", *version))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn versions_never_decrease(deliveries in proptest::collection::vec(1u64..20, 1..60)) {
        let mut table = ConfigTable::default();
        let history = history(&deliveries, |cfg| table.apply(cfg).is_some());
        prop_assert!(is_ordered(&history));
        prop_assert_eq!(table.version("balance"), deliveries.iter().copied().max().unwrap());
    }

    #[test]
    fn equal_tables_have_equal_digests(versions in proptest::collection::vec((0usize..5, 1u64..9), 0..40)) {
        let services = ["a", "b", "c", "d", "e"];
        let (mut forward, mut backward) = (ConfigTable::default(), ConfigTable::default());
        for (service, version) in &versions {
            forward.apply(config(services[*service], *version));
        }
        for (service, version) in versions.iter().rev() {
            backward.apply(config(services[*service], *version));
        }
        prop_assert_eq!(forward.digest(), backward.digest());
        prop_assert_eq!(forward.versions(), backward.versions());
    }
}

#[test]
fn a_table_that_applied_every_version_would_fail_the_order_check() {
    let deliveries = [1, 3, 2, 4];
    let mut table = ConfigTable::default();
    assert_eq!(history(&deliveries, |cfg| table.apply(cfg).is_some()), [1, 3, 4]);
    assert!(!is_ordered(&history(&deliveries, |_| true)));
}

/// History of a node that had version 9 in force, restarted, and received version 7 by a stale read
/// from the store before its peer replied with version 9.
fn history_after_stale_read(peer_grace_period: Duration) -> Vec<u64> {
    let cfg = RolloutSettings { peer_grace_period, ..RolloutSettings::default() };
    let mut machine = Rollout::new(cfg, 1);
    let mut actions = Vec::new();
    let now = Duration::from_millis(10);
    let stored = RolloutEvent::Stored { revision: 7, configs: vec![config("balance", 7)] };
    machine.handle(now, RolloutEvent::Peers { links: vec![id(1)], watches: true }, &mut actions);
    machine.handle(now, RolloutEvent::Tick, &mut actions);
    machine.handle(now, stored, &mut actions);
    let mut peer = ConfigTable::default();
    peer.apply(config("balance", 9));
    let configs = vec![config("balance", 9)];
    let reply = ConfigMessage { digest: peer.digest(), configs, ..ConfigMessage::default() };
    machine.handle(now, RolloutEvent::Reply(0, reply), &mut actions);
    let in_force = actions.into_iter().filter_map(|action| match action {
        RolloutAction::InForce(cfg) => Some(cfg.version),
        _ => None,
    });
    std::iter::once(9).chain(in_force).collect()
}

#[test]
fn a_stale_read_before_the_peers_reply_does_not_bring_back_an_old_version() {
    assert_eq!(history_after_stale_read(RolloutSettings::default().peer_grace_period), [9, 9]);
    assert_eq!(history_after_stale_read(Duration::ZERO), [9, 7, 9], "without the grace period");
}
