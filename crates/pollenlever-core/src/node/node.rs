use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::cx::Cx;
use super::delivery::{Delivery, DeliveryId};
use super::exchange::Exchange;
use super::gate_attempt::GateAttempt;
use super::node_settings::NodeSettings;
use super::open_call::OpenCall;
use super::outgoing::Outgoing;
use super::timers::Timers;
use crate::Timestamp;
use crate::admission::BoxAdmission;
use crate::chain::{Ledger, RecentFailures, TokenBucket};
use crate::config::ServiceConfig;
use crate::id::{
    AttemptId, CallId, ContentDigest, CustomerId, ExchangeId, NodeId, RegionName, RequestKey,
    RunId, ServiceName, StreamId, ZoneName,
};
use crate::membership::Member;
use crate::message::PeerRequest;
use crate::once::{Home, SealTable};
use crate::policy::{Action, Event, Policy};
use crate::routing::BoxRouting;
use crate::suspicion::SuspicionTable;

/// The decisions of one node as entry, origin, home and gate.
pub struct Node {
    pub(super) me: NodeId,
    pub(super) region: RegionName,
    pub(super) cfg: NodeSettings,
    pub(super) admission: BoxAdmission,
    pub(super) routing: BoxRouting,
    pub(super) rng: SmallRng,
    pub(super) timers: Timers,
    pub(super) services: BTreeMap<ServiceName, Arc<ServiceConfig>>,
    pub(super) members: BTreeMap<NodeId, Member>,
    pub(super) last_id: u64,
    pub(super) calls: BTreeMap<CallId, OpenCall>,
    pub(super) deliveries: BTreeMap<DeliveryId, Delivery>,
    pub(super) exchanges: BTreeMap<ExchangeId, Exchange>,
    pub(super) ledger: Ledger,
    pub(super) failures: RecentFailures,
    pub(super) retries: BTreeMap<ServiceName, TokenBucket>,
    pub(super) resends: BTreeMap<(CustomerId, ServiceName), TokenBucket>,
    pub(super) own: Home,
    pub(super) inherited: BTreeMap<NodeId, Home>,
    pub(super) incoming: BTreeMap<NodeId, (u32, Home)>,
    pub(super) outgoing: Option<Outgoing>,
    pub(super) has_stopped: bool,
    pub(super) former: BTreeMap<NodeId, RegionName>,
    pub(super) seals: SealTable,
    pub(super) streams: BTreeMap<StreamId, GateAttempt>,
    pub(super) attempts: BTreeMap<AttemptId, StreamId>,
    pub(super) runs: BTreeMap<RunId, StreamId>,
    pub(super) forwards: BTreeMap<StreamId, RequestKey>,
    pub(super) parked: BTreeSet<StreamId>,
    pub(super) lone_suspect: Option<StreamId>,
    pub(super) suspicion: SuspicionTable,
    pub(super) hot_suspects: BTreeMap<ContentDigest, u32>,
    pub(super) held: VecDeque<StreamId>,
    pub(super) target: TargetStage,
    pub(super) beside: Option<ServiceName>,
    pub(super) announced_slots: Option<u32>,
    pub(super) leaving: bool,
    pub(super) has_lingered: bool,
    pub(super) left: bool,
}

/// What the gate knows about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetStage {
    /// Takes work.
    Serving,
    /// Gets no new work.
    Leaving,
    /// The process is gone.
    Gone,
}

impl Node {
    /// The policy of the node `me`, which stands in `region` and `zone`.
    ///
    /// ```
    /// use pollenlever_core::admission::FifoAdmission;
    /// use pollenlever_core::node::{Node, NodeSettings};
    /// use pollenlever_core::policy::{Action, Event, Policy};
    /// use pollenlever_core::routing::RoundRobin;
    ///
    /// let me = "127.0.0.1:7101@1f".parse().unwrap();
    /// let cfg = NodeSettings { seed: 7, ..NodeSettings::default() };
    /// let admission = Box::new(FifoAdmission::default());
    /// let routing = Box::new(RoundRobin::default());
    /// let mut node = Node::new(me, "veneto".into(), "veneto-a".into(), cfg, admission, routing);
    ///
    /// let mut actions = Vec::new();
    /// node.handle(std::time::Duration::ZERO, Event::TakeKeys { call: 1, count: 2 }, &mut actions);
    /// assert!(matches!(&actions[..], [Action::Keys(1, keys)] if keys.len() == 2));
    /// ```
    pub fn new(
        me: NodeId,
        region: RegionName,
        _zone: ZoneName,
        cfg: NodeSettings,
        admission: BoxAdmission,
        routing: BoxRouting,
    ) -> Node {
        let mut rng = SmallRng::seed_from_u64(cfg.seed ^ me.incarnation);
        let own = Home::new(me, rng.random());
        Node {
            me,
            region,
            admission,
            routing,
            rng,
            timers: Timers::default(),
            services: BTreeMap::new(),
            members: BTreeMap::new(),
            last_id: 0,
            calls: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            ledger: Ledger::new(me),
            failures: RecentFailures::new(cfg.resend_window, cfg.max_recent_failures),
            retries: BTreeMap::new(),
            resends: BTreeMap::new(),
            own,
            inherited: BTreeMap::new(),
            incoming: BTreeMap::new(),
            outgoing: None,
            has_stopped: false,
            former: BTreeMap::new(),
            seals: SealTable::new(cfg.max_fates, cfg.max_fate_bytes),
            streams: BTreeMap::new(),
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
            forwards: BTreeMap::new(),
            parked: BTreeSet::new(),
            lone_suspect: None,
            suspicion: SuspicionTable::new(cfg.suspicion_ttl, cfg.max_suspects),
            hot_suspects: BTreeMap::new(),
            held: VecDeque::new(),
            target: TargetStage::Serving,
            beside: None,
            announced_slots: None,
            leaving: false,
            has_lingered: false,
            left: false,
            cfg,
        }
    }

    pub(super) fn draw_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a request to a peer and notes why.
    pub(super) fn send(
        &mut self,
        cx: &mut Cx<'_>,
        why: Exchange,
        to: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) -> ExchangeId {
        let exchange = self.draw_id();
        self.exchanges.insert(exchange, why);
        cx.push(Action::Send { exchange, to, req, body });
        exchange
    }

    /// Gives up on an exchange.
    pub(super) fn cancel_exchange(&mut self, cx: &mut Cx<'_>, exchange: ExchangeId) {
        if self.exchanges.remove(&exchange).is_some() {
            cx.push(Action::CancelSend(exchange));
        }
    }
}

impl Policy for Node {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut cx = Cx { now, out: actions };
        self.on_event(&mut cx, event);
        while let Some(timer) = self.timers.pop_due(now) {
            self.on_timer(&mut cx, timer);
        }
        self.tick_admission(&mut cx);
        self.expire(now);
        if self.has_lingered && self.is_idle() {
            self.finish_leaving(&mut cx);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next().into_iter().chain(self.admission.next_wakeup()).min()
    }
}
