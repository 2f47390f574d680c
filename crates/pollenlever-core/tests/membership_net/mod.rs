//! A simulated network of membership state machines on a virtual clock.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::{ANY_INCARNATION, ExchangeId, NodeId};
use pollenlever_core::membership::{
    GossipMessage, Member, Membership, MembershipAction, MembershipEvent, MembershipSettings,
};
use pollenlever_core::policy::Policy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the virtual clock; due nodes get a tick at each step.
const TICK: Duration = Duration::from_millis(25);
const REGIONS: [&str; 3] = ["lombardia", "veneto", "emilia"];

/// A node's state machine and the members that it reported.
pub(crate) struct Node {
    pub(crate) machine: Membership,
    /// Members that are up, according to the actions so far.
    pub(crate) view: BTreeMap<SocketAddr, Member>,
    /// Nodes that were reported gone, in order.
    pub(crate) gone: Vec<NodeId>,
    pub(crate) paused: bool,
    /// Packets that arrived while the node was paused.
    inbox: Vec<Packet>,
}

/// An event that is scheduled for a node: a packet or a timeout.
enum Packet {
    Request { from: NodeId, to: NodeId, exchange: ExchangeId, message: GossipMessage },
    Reply { exchange: ExchangeId, message: GossipMessage },
    Timeout { exchange: ExchangeId },
}

struct Arrival {
    at: Timestamp,
    number: u64,
    to: SocketAddr,
    packet: Packet,
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Arrival) -> bool {
        self.number == other.number
    }
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Arrival) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Arrival) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Nodes and the packets between them.
pub(crate) struct Net {
    pub(crate) now: Timestamp,
    pub(crate) nodes: BTreeMap<SocketAddr, Node>,
    /// Probability that a packet is lost.
    pub(crate) loss: f64,
    /// Whether a network partition drops packets between two nodes.
    pub(crate) is_partitioned: fn(&Member, &Member) -> bool,
    /// Settings of nodes that are started.
    pub(crate) cfg: MembershipSettings,
    /// Total encoded size of the messages sent, in bytes.
    pub(crate) bytes: u64,
    /// Number of messages sent.
    pub(crate) messages: u64,
    members_by_addr: BTreeMap<SocketAddr, Member>,
    arrivals: BinaryHeap<Arrival>,
    answered: BTreeSet<(SocketAddr, ExchangeId)>,
    last_arrival_number: u64,
    rng: SmallRng,
}

pub(crate) fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7100))
}

pub(crate) fn node_id(number: u16, incarnation: u64) -> NodeId {
    NodeId { addr: addr(number), incarnation }
}

impl Net {
    pub(crate) fn new(seed: u64) -> Net {
        Net {
            now: Timestamp::ZERO,
            nodes: BTreeMap::new(),
            loss: 0.0,
            is_partitioned: |_, _| false,
            cfg: MembershipSettings::default(),
            bytes: 0,
            messages: 0,
            members_by_addr: BTreeMap::new(),
            arrivals: BinaryHeap::new(),
            answered: BTreeSet::new(),
            last_arrival_number: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A network of `count` nodes, which have all joined through the first three.
    pub(crate) fn settled(count: u16, seed: u64) -> Net {
        Net::settled_with(MembershipSettings::default(), count, seed)
    }

    pub(crate) fn settled_with(cfg: MembershipSettings, count: u16, seed: u64) -> Net {
        let mut net = Net { cfg, ..Net::new(seed) };
        for number in 0..count {
            net.start(number, 1, 1);
        }
        net.run_until("all joined", 60, |net| {
            net.nodes.values().all(|it| it.view.len() == usize::from(count))
        });
        net.run(Duration::from_secs(2));
        net
    }

    /// Starts a process at the node's address, replacing an earlier one.
    pub(crate) fn start(&mut self, number: u16, incarnation: u64, version: u64) {
        let id = node_id(number, incarnation);
        let region = REGIONS[usize::from(number) % REGIONS.len()];
        let zone = if number.is_multiple_of(2) { "a" } else { "b" };
        let me = Member { version, region: region.into(), zone: zone.into(), ..Member::new(id) };
        self.members_by_addr.insert(id.addr, me.clone());
        let seed = self.rng.random();
        let machine = Membership::new(self.cfg.clone(), me, seed);
        let view = BTreeMap::new();
        let node = Node { machine, view, gone: Vec::new(), paused: false, inbox: Vec::new() };
        self.nodes.insert(id.addr, node);
        let seeds = (0..3).map(addr).collect();
        self.report(id.addr, MembershipEvent::Seeds(seeds));
    }

    pub(crate) fn kill(&mut self, number: u16) {
        self.nodes.remove(&addr(number));
    }

    pub(crate) fn node(&mut self, number: u16) -> &mut Node {
        self.nodes.get_mut(&addr(number)).unwrap()
    }

    /// Whether `sees` is true for the entry of node `number` at every other node that is not
    /// paused. The entry is `None` if the node is not up there.
    pub(crate) fn all_see(&self, number: u16, sees: impl Fn(Option<&Member>) -> bool) -> bool {
        let others = self.nodes.iter().filter(|(at, it)| **at != addr(number) && !it.paused);
        others.map(|(_, it)| it.view.get(&addr(number))).all(sees)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` returns `true`, and fails if that takes longer than `secs`. Returns the
    /// time that it took.
    pub(crate) fn run_until(
        &mut self,
        what: &str,
        secs: u64,
        condition: impl Fn(&Net) -> bool,
    ) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + Duration::from_secs(secs), "{what}: not within {secs} s");
            self.step();
        }
        self.now - start
    }

    /// Reports an event to a node and performs the resulting actions.
    pub(crate) fn report(&mut self, at: SocketAddr, event: MembershipEvent) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let me = node.machine.me().node;
        let mut actions = Vec::new();
        node.machine.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(me, action);
        }
    }

    fn perform(&mut self, me: NodeId, action: MembershipAction) {
        match action {
            MembershipAction::Updated(member) => {
                let node = self.nodes.get_mut(&me.addr).unwrap();
                node.view.insert(member.node.addr, member);
            }
            MembershipAction::Removed(gone) => {
                let node = self.nodes.get_mut(&me.addr).unwrap();
                node.view.retain(|_, it| it.node != gone);
                node.gone.push(gone);
            }
            MembershipAction::Send { exchange, to, message, timeout } => {
                self.record_sent(&message);
                let request = Packet::Request { from: me, to, exchange, message };
                self.transmit(me.addr, to.addr, request);
                self.arrive(self.now + timeout, me.addr, Packet::Timeout { exchange });
            }
            MembershipAction::Reply(_) => unreachable!("handled with the request"),
        }
    }

    fn step(&mut self) {
        let next = self.now + TICK;
        while self.arrivals.peek().is_some_and(|it| it.at <= next) {
            let arrival = self.arrivals.pop().unwrap();
            self.now = self.now.max(arrival.at);
            self.deliver(arrival.to, arrival.packet);
        }
        self.now = next;
        let due: Vec<SocketAddr> = self
            .nodes
            .iter()
            .filter(|(_, it)| !it.paused && it.machine.next_wakeup().is_some_and(|at| at <= next))
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            self.report(at, MembershipEvent::Tick);
        }
    }

    /// Resumes a paused node. Its clock continued to run during the pause.
    pub(crate) fn resume(&mut self, number: u16) {
        let node = self.node(number);
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        for packet in inbox {
            self.deliver(addr(number), packet);
        }
    }

    fn deliver(&mut self, at: SocketAddr, packet: Packet) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if node.paused {
            node.inbox.push(packet);
            return;
        }
        let me = node.machine.me().node;
        match packet {
            Packet::Request { from, to, exchange, message } => {
                if ![me.incarnation, ANY_INCARNATION].contains(&to.incarnation) {
                    return; // the refusal is simulated by the sender's timeout
                }
                let mut actions = Vec::new();
                let event = MembershipEvent::Message(from, message);
                node.machine.handle(self.now, event, &mut actions);
                for action in actions {
                    if let MembershipAction::Reply(message) = action {
                        self.record_sent(&message);
                        self.transmit(at, from.addr, Packet::Reply { exchange, message });
                    } else {
                        self.perform(me, action);
                    }
                }
            }
            Packet::Reply { exchange, message } => {
                if self.answered.insert((at, exchange)) {
                    self.report(at, MembershipEvent::Reply(exchange, message));
                }
            }
            Packet::Timeout { exchange } => {
                if !self.answered.remove(&(at, exchange)) {
                    self.report(at, MembershipEvent::Failed(exchange));
                }
            }
        }
    }

    fn record_sent(&mut self, message: &GossipMessage) {
        self.bytes += message.encoded_len() as u64;
        self.messages += 1;
    }

    fn transmit(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        let (Some(a), Some(b)) = (self.members_by_addr.get(&from), self.members_by_addr.get(&to))
        else {
            return;
        };
        if (self.is_partitioned)(a, b) || self.rng.random_bool(self.loss) {
            return;
        }
        let latency = if a.region == b.region { 500 } else { 20_000 };
        let jitter = self.rng.random_range(0..latency / 2);
        let at = self.now + Duration::from_micros(latency + jitter);
        self.arrive(at, to, packet);
    }

    fn arrive(&mut self, at: Timestamp, to: SocketAddr, packet: Packet) {
        self.last_arrival_number += 1;
        self.arrivals.push(Arrival { at, number: self.last_arrival_number, to, packet });
    }
}
