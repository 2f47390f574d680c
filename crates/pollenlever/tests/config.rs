//! Control threads of several nodes in one process. Peers call each other directly; the store is
//! simulated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_channel::Receiver;
use pollenlever::control::{Control, ControlMessage, SharedControl};
use pollenlever::peer::{PeerError, PeerFuture, PeerSender};
use pollenlever::ring::ring;
use pollenlever::settings::Settings;
use pollenlever::store::{StoreClient, SubmitSettings, submit};
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{ANY_INCARNATION, NodeId};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::{Event, SendFailure, TargetNotice};
use pollenlever_standins::store::{Faults, RunningStore, Store, StoreSettings};

/// Timeout for a state that is expected to be reached.
const TIMEOUT: Duration = Duration::from_secs(18);

/// Control handles by peer address; requests to an address that is not listed fail.
#[derive(Default)]
struct Network {
    nodes: Mutex<BTreeMap<SocketAddr, (NodeId, SharedControl)>>,
}

struct Sender {
    from: NodeId,
    network: Arc<Network>,
}

impl PeerSender for Sender {
    fn send(&self, to: NodeId, req: PeerRequest, _: Bytes, _: Duration) -> PeerFuture {
        let peer = self.network.nodes.lock().unwrap().get(&to.addr).cloned();
        let peer =
            peer.filter(|(node, _)| [node.incarnation, ANY_INCARNATION].contains(&to.incarnation));
        let reply = peer.map(|(_, peer)| match req {
            PeerRequest::Gossip(it) => peer.handle_message(self.from, ControlMessage::Gossip(it)),
            PeerRequest::Config(it) => peer.handle_message(self.from, ControlMessage::Config(it)),
            other => panic!("control does not send {other:?}"),
        });
        Box::pin(async move {
            match reply {
                Some(ControlMessage::Gossip(it)) => Ok((PeerReply::Gossip(it), Bytes::new())),
                Some(ControlMessage::Config(it)) => Ok((PeerReply::Config(it), Bytes::new())),
                None => Err(PeerError {
                    to,
                    failure: SendFailure::NotSent,
                    reason: "refused".to_owned(),
                }),
            }
        })
    }
}

struct Node {
    id: NodeId,
    control: SharedControl,
    events: Receiver<Event>,
}

impl Node {
    fn version(&self) -> u64 {
        self.control.status().configs.get("balance").copied().unwrap_or(0)
    }

    /// Versions in the order in which they came into force on this node; empties the event ring.
    fn applied_versions(&self) -> Vec<u64> {
        let version = |event| match event {
            Event::Config(cfg) => Some(cfg.version),
            _ => None,
        };
        self.events.try_iter().filter_map(version).collect()
    }
}

struct Fleet {
    store: RunningStore,
    network: Arc<Network>,
}

impl Fleet {
    fn new() -> Fleet {
        let store = Store::start(StoreSettings::default()).unwrap();
        Fleet { store, network: Arc::default() }
    }

    /// Starts a node whose port, region and seed are derived from its number.
    fn start(&self, number: u16, incarnation: u64) -> Node {
        self.start_with(number, incarnation, Settings::default())
    }

    fn start_with(&self, number: u16, incarnation: u64, cfg: Settings) -> Node {
        let addr = SocketAddr::from(([10, 0, 0, 1], 7000 + number));
        let id = NodeId { addr, incarnation };
        let region = ["lombardia", "veneto", "emilia"][usize::from(number % 3)];
        let cfg = Settings {
            peer: addr,
            region: region.to_owned(),
            store: self.store.addr(),
            seed: Some(u64::from(number)),
            ..cfg
        };
        let (ring, events) = ring(4096);
        let sender = Sender { from: id, network: Arc::clone(&self.network) };
        let control = Control::spawn(&cfg, id, Arc::new(sender), ring).unwrap();
        self.network.nodes.lock().unwrap().insert(addr, (id, Arc::clone(&control)));
        Node { id, control, events }
    }

    fn start_all(&self, count: u16) -> Vec<Node> {
        (0..count).map(|number| self.start(number, u64::from(number) + 1)).collect()
    }

    fn stop(&self, node: Node) {
        self.network.nodes.lock().unwrap().remove(&node.id.addr);
    }

    fn accept(&self, slots: u32, id: &str) -> u64 {
        let api = StoreClient::new(self.store.addr()).unwrap();
        let cfg = ServiceConfig { service: "balance".into(), slots, ..ServiceConfig::default() };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let accepted = runtime.block_on(submit(&api, &cfg, id, &SubmitSettings::default()));
        accepted.unwrap().version
    }
}

/// Waits until `condition` is true; fails the test after [`TIMEOUT`].
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not reached");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn wait_for_version(nodes: &[Node], version: u64) {
    wait_until("version in force", || nodes.iter().all(|it| it.version() == version));
}

fn wait_for_members(nodes: &[Node]) {
    wait_until("all members known", || {
        nodes.iter().all(|it| it.control.status().members.len() == nodes.len())
    });
}

/// Defines a test that runs its body with a new fleet.
macro_rules! case {
    ($name:ident, |$fleet:ident| $body:block) => {
        #[test]
        fn $name() {
            let $fleet = Fleet::new();
            $body
        }
    };
}

case!(nodes_find_each_other_through_the_store, |fleet| {
    let nodes = fleet.start_all(7);
    wait_for_members(&nodes);
    nodes[2].control.handle_target_notice(TargetNotice::Announce {
        service: "balance".into(),
        slots: Some(5),
        cold: false,
    });
    wait_until("target known everywhere", || {
        let sees = |node: &Node| {
            node.control.status().members.iter().any(|it| it.state == "ready" && it.slots == 5)
        };
        nodes.iter().all(sees)
    });
});

case!(accepted_updates_reach_every_node_in_order, |fleet| {
    let nodes = fleet.start_all(6);
    wait_for_members(&nodes);
    let first = fleet.accept(5, "a");
    wait_for_version(&nodes, first);
    fleet.store.set_faults(Faults { slow_ms: 300, lose_answers: 1, ..Faults::default() });
    let second = fleet.accept(6, "b");
    wait_for_version(&nodes, second);
    for node in &nodes {
        assert_eq!(node.applied_versions(), [first, second]);
    }
});

case!(a_node_restarted_while_the_store_is_down_gets_the_configuration_from_peers, |fleet| {
    let mut nodes = fleet.start_all(6);
    wait_for_members(&nodes);
    let version = fleet.accept(5, "a");
    wait_for_version(&nodes, version);
    fleet.store.set_faults(Faults { down: true, ..Faults::default() });
    let old = nodes.remove(0);
    let old_id = old.id;
    fleet.stop(old);
    let seeds = Settings { seed_peers: vec![nodes[0].id.addr], ..Settings::default() };
    nodes.insert(0, fleet.start_with(0, 99, seeds));
    wait_for_version(&nodes, version);
    assert_eq!(nodes[0].applied_versions(), [version]);
    wait_until("the old process is replaced", || {
        let sees = |node: &Node, id: NodeId| {
            node.control.status().members.iter().any(|it| it.node == id.to_string())
        };
        nodes.iter().all(|it| sees(it, nodes[0].id) && !sees(it, old_id))
    });
});

case!(stale_reads_never_revert_a_node_to_an_older_version, |fleet| {
    let mut nodes = fleet.start_all(4);
    wait_for_members(&nodes);
    let first = fleet.accept(5, "a");
    wait_for_version(&nodes, first);
    fleet.store.set_faults(Faults { stale_reads: true, ..Faults::default() });
    let second = fleet.accept(6, "b");
    wait_for_version(&nodes, second);
    for number in 0..4 {
        let old = nodes.remove(0);
        fleet.stop(old);
        let restarted = fleet.start(number, 100 + u64::from(number));
        wait_until("version after restart", || restarted.version() > 0);
        assert_eq!(restarted.applied_versions(), [second]);
        nodes.push(restarted);
    }
});
