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
use super::suspicion_table::SuspicionTable;
use super::timers::{Timer, Timers};
use crate::Timestamp;
use crate::admission::BoxAdmission;
use crate::answer::ErrorKind;
use crate::chain::{Ledger, RecentFailures, TokenBucket};
use crate::config::ServiceConfig;
use crate::id::{
    AttemptId, CallId, ContentDigest, CustomerId, ExchangeId, NodeId, RegionName, RequestKey,
    RunId, ServiceName, StreamId, ZoneName,
};
use crate::membership::Member;
use crate::message::{PeerReply, PeerRequest};
use crate::once::{Home, SealTable};
use crate::policy::{Action, Event, Policy, SendFailure, TargetNotice};
use crate::routing::BoxRouting;

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

    fn on_event(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Call(id, call) => self.on_call(cx, id, call),
            Event::CallCancelled(id) => self.on_call_cancelled(cx, id),
            Event::TakeKeys { call, count } => self.on_take_keys(cx, call, count),
            Event::Request { stream, from, req, body } => {
                self.on_request(cx, stream, from, req, body);
            }
            Event::RequestCancelled(stream) => self.on_request_cancelled(cx, stream),
            Event::Reply(exchange, reply, body) => self.on_reply(cx, exchange, reply, body),
            Event::SendFailed(exchange, failure) => self.on_send_failed(cx, exchange, failure),
            Event::RunEnded(run, result) => self.on_run_ended(cx, run, result),
            Event::Target(notice) => self.on_target(cx, &notice),
            Event::Config(cfg) => self.on_config(cx, cfg),
            Event::MembersUp(members) => self.on_members_up(cx, members),
            Event::MembersGone(nodes) => self.on_members_gone(cx, &nodes),
            Event::Leave => self.on_leave(cx),
            Event::Tick => {}
        }
    }

    fn on_request(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        from: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) {
        match req {
            PeerRequest::Attempt(head) => self.on_attempt(cx, stream, head, body),
            PeerRequest::Forward(head) => self.on_forward(cx, stream, head, body),
            PeerRequest::Grant(chain) => {
                let granted = self.ledger.grant(cx.now, chain);
                cx.reply(stream, PeerReply::Grant(granted));
            }
            PeerRequest::Seal(attempt) => self.on_seal(cx, stream, from, attempt),
            PeerRequest::Suspects(news) => self.on_suspects(cx, stream, &news),
            PeerRequest::Handover(part) => self.on_handover(cx, stream, from, part, body),
            PeerRequest::Gossip(_) | PeerRequest::Config(_) => {
                cx.reply(stream, PeerReply::Refused(ErrorKind::Internal));
            }
        }
    }

    fn on_reply(&mut self, cx: &mut Cx<'_>, id: ExchangeId, reply: PeerReply, body: Bytes) {
        let Some(why) = self.exchanges.remove(&id) else { return };
        match why {
            Exchange::Attempt(delivery) => self.on_attempt_reply(cx, delivery, reply, body),
            Exchange::RetryGrant(delivery) => {
                self.on_retry_grant(cx, delivery, reply == PeerReply::Grant(true));
            }
            Exchange::ResendGrant(call) => {
                self.on_resend_grant(cx, call, reply == PeerReply::Grant(true));
            }
            Exchange::ForwardGrant(call) => {
                self.on_forward_grant(cx, call, reply == PeerReply::Grant(true));
            }
            Exchange::Seal(delivery) => self.on_seal_reply(cx, delivery, reply, body),
            Exchange::Forward(call) => self.on_forward_reply(cx, call, reply, body),
            Exchange::Handover => self.on_handover_reply(cx, &reply),
            Exchange::Notice => {}
        }
    }

    fn on_send_failed(&mut self, cx: &mut Cx<'_>, id: ExchangeId, failure: SendFailure) {
        let Some(why) = self.exchanges.remove(&id) else { return };
        match why {
            Exchange::Attempt(delivery) => self.on_attempt_failed(cx, delivery, failure),
            Exchange::RetryGrant(delivery) => self.on_retry_grant(cx, delivery, false),
            Exchange::ResendGrant(call) => self.on_resend_grant(cx, call, false),
            Exchange::ForwardGrant(call) => self.on_forward_grant(cx, call, false),
            Exchange::Seal(delivery) => self.pause_seal(cx, delivery),
            Exchange::Forward(call) => self.on_forward_failed(cx, call),
            Exchange::Handover => self.on_handover_failed(cx),
            Exchange::Notice => {}
        }
    }

    fn on_timer(&mut self, cx: &mut Cx<'_>, timer: Timer) {
        match timer {
            Timer::CallDeadline(call) => self.on_call_deadline(cx, call),
            Timer::ReplyOverdue(delivery) => self.on_reply_overdue(cx, delivery),
            Timer::AskSeal(delivery) => self.on_seal_pause_ended(cx, delivery),
            Timer::GrantTimeout(exchange) => self.on_grant_timeout(cx, exchange),
            Timer::SealTimeout(exchange) => self.on_seal_timeout(cx, exchange),
            Timer::ParkedDeadline(stream) => self.on_parked_deadline(cx, stream),
            Timer::SuspectWait(stream) => self.on_suspect_wait(cx, stream),
            Timer::SpreadSuspicion => self.spread_suspicion(cx),
            Timer::HandoverPause(call) => self.on_handover_pause(cx, call),
            Timer::Linger => self.has_lingered = true,
            Timer::DrainQueue => self.refuse_queue(cx),
        }
    }

    fn on_target(&mut self, cx: &mut Cx<'_>, notice: &TargetNotice) {
        self.admission.notice(cx.now, notice);
        match notice {
            TargetNotice::Announce { service, slots, .. } => {
                self.beside = Some(service.clone());
                self.announced_slots = *slots;
                self.target = TargetStage::Serving;
                self.set_slots(cx);
            }
            TargetNotice::Leaving => {
                self.target = TargetStage::Leaving;
                self.timers.set(cx.now + self.cfg.drain_queue, Timer::DrainQueue);
            }
            TargetNotice::Gone => self.target = TargetStage::Gone,
            TargetNotice::Load { .. } => {}
        }
    }

    fn on_config(&mut self, cx: &mut Cx<'_>, cfg: Arc<ServiceConfig>) {
        self.services.insert(cfg.service.clone(), cfg.clone());
        self.routing.configure(cfg);
        self.set_slots(cx);
    }

    /// Sets the slots of the target: those that it announces, within those declared.
    fn set_slots(&mut self, cx: &mut Cx<'_>) {
        let Some(service) = &self.beside else { return };
        let declared = self.services.get(service).map(|it| it.slots);
        if let Some(slots) = self.announced_slots.into_iter().chain(declared).min() {
            self.admission.set_slots(cx.now, slots);
        }
    }

    fn on_members_up(&mut self, cx: &mut Cx<'_>, members: Vec<Member>) {
        self.routing.members_up(cx.now, &members);
        for member in members {
            self.members.insert(member.node, member);
        }
    }

    fn on_members_gone(&mut self, cx: &mut Cx<'_>, nodes: &[NodeId]) {
        self.routing.members_gone(cx.now, nodes);
        for node in nodes {
            if let Some(member) = self.members.remove(node) {
                self.remember_region(*node, member.region);
            }
            self.incoming.remove(node);
            self.seals.sender_gone(*node);
        }
        self.give_up_seals(cx, nodes);
    }

    /// Remembers where a node stood, for those who look for its successor.
    fn remember_region(&mut self, node: NodeId, region: RegionName) {
        if self.former.len() >= self.cfg.max_former {
            self.former.pop_first();
        }
        self.former.insert(node, region);
    }

    fn on_leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.timers.set(cx.now + self.cfg.drain_queue, Timer::DrainQueue);
        self.timers.set(cx.now + self.cfg.linger, Timer::Linger);
    }

    fn is_idle(&self) -> bool {
        let has_work = self.deliveries.values().any(|it| !it.is_asking_seal());
        self.calls.is_empty() && self.streams.is_empty() && !has_work
    }

    fn expire(&mut self, now: Timestamp) {
        self.ledger.expire(now);
        let grace = self.cfg.reply_grace;
        for home in self.inherited.values_mut().chain([&mut self.own]) {
            home.expire(now, grace);
        }
        if !self.inherited.is_empty() {
            let retention = self.services.values().map(|it| it.retention).max().unwrap_or_default();
            self.inherited.retain(|_, home| !home.is_over(now, retention));
        }
        self.suspicion.expire(now);
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
