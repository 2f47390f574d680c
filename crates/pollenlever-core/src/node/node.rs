use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::context::Context;
use super::delivery::{Delivery, DeliveryId};
use super::exchange_purpose::ExchangePurpose;
use super::gate_attempt::GateAttempt;
use super::node_settings::NodeSettings;
use super::open_call::OpenCall;
use super::outgoing_handover::OutgoingHandover;
use super::timers::Timers;
use crate::Timestamp;
use crate::admission::BoxAdmission;
use crate::chain::{ChainRetryBudgets, RecentFailures, TokenBucket};
use crate::config::ServiceConfig;
use crate::id::{
    AttemptId, CallId, ContentDigest, ExchangeId, NodeId, RegionName, RequestKey, RunId,
    ServiceName, StreamId, WorkspaceName, ZoneName,
};
use crate::membership::Member;
use crate::message::PeerRequest;
use crate::once::{Home, SealTable};
use crate::policy::{Action, Event, Policy};
use crate::routing::BoxRouting;
use crate::suspicion::SuspicionTable;

/// The policy of one node, which acts as entry, origin, home and gate.
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
    pub(super) exchanges: BTreeMap<ExchangeId, ExchangePurpose>,
    pub(super) chain_retry_budgets: ChainRetryBudgets,
    pub(super) recent_failures: RecentFailures,
    pub(super) retry_buckets: BTreeMap<ServiceName, TokenBucket>,
    pub(super) resend_buckets: BTreeMap<(WorkspaceName, ServiceName), TokenBucket>,
    pub(super) own_home: Home,
    /// Homes whose records this node has taken over.
    pub(super) inherited_homes: BTreeMap<NodeId, Home>,
    /// Next expected part and the records received so far, by leaving home.
    pub(super) incoming_handovers: BTreeMap<NodeId, (u32, Home)>,
    pub(super) outgoing_handover: Option<OutgoingHandover>,
    pub(super) has_stopped_deciding: bool,
    /// Regions of members that are gone.
    pub(super) gone_regions: BTreeMap<NodeId, RegionName>,
    pub(super) seals: SealTable,
    pub(super) gate_attempts: BTreeMap<StreamId, GateAttempt>,
    pub(super) streams_by_attempt: BTreeMap<AttemptId, StreamId>,
    pub(super) streams_by_run: BTreeMap<RunId, StreamId>,
    /// Keys of the requests that other entries forwarded to this home and that have no reply yet.
    pub(super) forwarded_keys: BTreeMap<StreamId, RequestKey>,
    pub(super) parked_suspects: BTreeSet<StreamId>,
    /// The suspect that is to run alone on the target.
    pub(super) isolated_suspect: Option<StreamId>,
    pub(super) suspicion: SuspicionTable,
    /// Gossip rounds left for the crash report of each request.
    pub(super) spread_rounds_left: BTreeMap<ContentDigest, u32>,
    /// Attempts that have a slot and are not started yet, in order.
    pub(super) ready_attempts: VecDeque<StreamId>,
    pub(super) target: TargetStage,
    pub(super) target_service: Option<ServiceName>,
    pub(super) announced_slots: Option<u32>,
    pub(super) is_leaving: bool,
    pub(super) has_leave_notice_ended: bool,
    pub(super) has_left: bool,
}

/// State of the target beside the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetStage {
    /// Accepts requests.
    Serving,
    /// Draining: gets no new requests.
    Leaving,
    /// The process has ended.
    Exited,
}

impl Node {
    /// Creates the policy of the node `me` in `region` and `zone`.
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
    /// let event = Event::IssueKeys { call: 1, count: 2 };
    /// node.handle(std::time::Duration::ZERO, event, &mut actions);
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
        let own_home = Home::new(me, rng.random());
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
            chain_retry_budgets: ChainRetryBudgets::new(me),
            recent_failures: RecentFailures::new(cfg.resend_window, cfg.max_recent_failures),
            retry_buckets: BTreeMap::new(),
            resend_buckets: BTreeMap::new(),
            own_home,
            inherited_homes: BTreeMap::new(),
            incoming_handovers: BTreeMap::new(),
            outgoing_handover: None,
            has_stopped_deciding: false,
            gone_regions: BTreeMap::new(),
            seals: SealTable::new(cfg.max_ended_attempts, cfg.max_answer_bytes),
            gate_attempts: BTreeMap::new(),
            streams_by_attempt: BTreeMap::new(),
            streams_by_run: BTreeMap::new(),
            forwarded_keys: BTreeMap::new(),
            parked_suspects: BTreeSet::new(),
            isolated_suspect: None,
            suspicion: SuspicionTable::new(cfg.suspicion_ttl, cfg.max_suspects),
            spread_rounds_left: BTreeMap::new(),
            ready_attempts: VecDeque::new(),
            target: TargetStage::Serving,
            target_service: None,
            announced_slots: None,
            is_leaving: false,
            has_leave_notice_ended: false,
            has_left: false,
            cfg,
        }
    }

    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a request to a peer and remembers what its reply is for.
    pub(super) fn send(
        &mut self,
        cx: &mut Context<'_>,
        purpose: ExchangePurpose,
        to: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) -> ExchangeId {
        let exchange = self.allocate_id();
        self.exchanges.insert(exchange, purpose);
        cx.push(Action::Send { exchange, to, req, body });
        exchange
    }

    /// Cancels an exchange if its reply is still outstanding.
    pub(super) fn cancel_exchange(&mut self, cx: &mut Context<'_>, exchange: ExchangeId) {
        if self.exchanges.remove(&exchange).is_some() {
            cx.push(Action::CancelSend(exchange));
        }
    }
}

impl Policy for Node {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut cx = Context { now, out: actions };
        self.on_event(&mut cx, event);
        while let Some(timer) = self.timers.pop_due(now) {
            self.on_timer(&mut cx, timer);
        }
        self.tick_admission(&mut cx);
        self.expire(now);
        if self.has_leave_notice_ended && self.is_idle() {
            self.finish_leaving(&mut cx);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next().into_iter().chain(self.admission.next_wakeup()).min()
    }
}
