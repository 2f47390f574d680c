use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::exchange::Exchange;
use super::failure_detector::FailureDetector;
use super::outbox::Outbox;
use super::seed_list::SeedList;
use super::{
    BucketId, Change, GossipMessage, GossipPurpose, Health, Link, Member, MemberTable,
    MembershipAction, MembershipEvent, MembershipSettings, Merged, Overlay, Stamp, TargetState,
};
use crate::Timestamp;
use crate::id::{ANY_INCARNATION, ExchangeId, NodeId};
use crate::policy::{Policy, TargetNotice};

/// Comparisons that follow one another with the same peer.
const MAX_SYNC_ROUNDS: u32 = 128;
/// One sync in so many goes to a random member, and one to a member that is gone.
const RANDOM_SYNC_PERIOD: u32 = 8;

/// The members as one node knows them.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::membership::*;
/// use pollenlever_core::policy::Policy;
/// let me = Member::new("127.0.0.1:7101@1f".parse().unwrap());
/// let mut members = Membership::new(MembershipSettings::default(), me.clone(), 7);
/// let mut actions = Vec::new();
/// members.handle(Duration::ZERO, MembershipEvent::Tick, &mut actions);
/// assert_eq!(actions, [MembershipAction::Up(me)]);
/// ```
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipSettings,
    me: Member,
    table: MemberTable,
    overlay: Overlay,
    is_overlay_current: bool,
    overlay_generation: u64,
    outbox: Outbox,
    seeds: SeedList,
    detector: FailureDetector,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    next_exchange: ExchangeId,
    next_sync: Timestamp,
    last_tick: Timestamp,
    is_announced: bool,
    is_leaving: bool,
    rng: SmallRng,
}

type Actions = Vec<MembershipAction>;

impl Membership {
    /// The table of node `me`, which knows only itself. `me.version` must be higher than that of
    /// any earlier process at the same address, such as a wall clock's time.
    pub fn new(cfg: MembershipSettings, me: Member, seed: u64) -> Membership {
        let mut table = MemberTable::default();
        table.merge(Timestamp::ZERO, Change::alive(me.clone()));
        Membership {
            cfg,
            me,
            table,
            overlay: Overlay::default(),
            is_overlay_current: false,
            overlay_generation: 0,
            outbox: Outbox::default(),
            seeds: SeedList::default(),
            detector: FailureDetector::default(),
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            next_sync: Timestamp::ZERO,
            last_tick: Timestamp::ZERO,
            is_announced: false,
            is_leaving: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This node's own entry.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Peers to which this node sends heartbeats and changes.
    pub fn links(&self) -> &[Link] {
        self.overlay.links()
    }

    /// Grows whenever members came or went and the links were worked out anew.
    pub fn overlay_generation(&self) -> u64 {
        self.overlay_generation
    }

    /// Members of this node's region that are not gone, in order of address.
    pub fn region(&self) -> impl Iterator<Item = NodeId> {
        self.table.live().filter(|it| it.region == self.me.region).map(|it| it.node)
    }

    fn on_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: GossipMessage,
        actions: &mut Actions,
    ) {
        self.detector.clear_doubt(from);
        let newer = self.merge_all(now, message.changes, Some(from), actions);
        let mut reply = match message.purpose {
            GossipPurpose::Sync { digest, first } => {
                self.table.differing_buckets(&digest, first, self.cfg.max_changes)
            }
            GossipPurpose::ProbeFor(node) => {
                let probe = Exchange::ProbeFor { node, requester: from };
                self.send(node, GossipMessage::default(), probe, actions);
                GossipMessage::default()
            }
            GossipPurpose::Reached(node) => {
                self.detector.clear_doubt(node);
                GossipMessage::default()
            }
            GossipPurpose::Push | GossipPurpose::Buckets { .. } => GossipMessage::default(),
        };
        reply.changes.extend(newer);
        let sender = self.table.get(from.addr);
        let doubted = sender.filter(|it| it.member.node == from && it.health != Health::Alive);
        reply.changes.extend(doubted.cloned());
        actions.push(MembershipAction::Reply(reply));
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: GossipMessage,
        actions: &mut Actions,
    ) {
        let Some(ended) = self.exchanges.remove(&exchange) else { return };
        match ended {
            Exchange::Push { to, .. } => {
                self.detector.clear_doubt(to);
                self.outbox.end(to, exchange, &[], now);
                self.merge_all(now, reply.changes, Some(to), actions);
                if self.table.get(to.addr).is_some_and(|it| it.health == Health::Suspect) {
                    self.outbox.queue(to, to.addr, now); // lets it refute
                }
            }
            Exchange::ProbeFor { node, requester } => {
                self.merge_all(now, reply.changes, Some(node), actions);
                let purpose = GossipPurpose::Reached(node);
                let message = GossipMessage { purpose, changes: Vec::new() };
                self.send(requester, message, Exchange::Notice, actions);
            }
            Exchange::Sync { to, rounds } => self.on_buckets(now, to, rounds, reply, actions),
            Exchange::Notice => {
                self.merge_all(now, reply.changes, None, actions);
            }
        }
    }

    /// Merges the buckets of a sync and sends back what the peer lacks in them.
    fn on_buckets(
        &mut self,
        now: Timestamp,
        to: NodeId,
        rounds: u32,
        reply: GossipMessage,
        actions: &mut Actions,
    ) {
        let theirs: BTreeMap<SocketAddr, Stamp> =
            reply.changes.iter().map(|it| (it.addr(), it.stamp())).collect();
        self.merge_all(now, reply.changes, None, actions);
        let GossipPurpose::Buckets { buckets, more } = reply.purpose else { return };
        let mut missing = self.table.newer_in(&buckets, &theirs);
        missing.truncate(self.cfg.max_changes);
        if !missing.is_empty() {
            self.send(to, GossipMessage::push(missing), Exchange::Notice, actions);
        }
        let last = buckets.last().copied().unwrap_or_default();
        if more && rounds < MAX_SYNC_ROUNDS {
            self.sync(to, last.wrapping_add(1), rounds + 1, actions);
        }
    }

    fn on_failed(&mut self, now: Timestamp, exchange: ExchangeId, actions: &mut Actions) {
        if let Some(Exchange::Push { to, entries }) = self.exchanges.remove(&exchange) {
            self.outbox.end(to, exchange, &entries, now + self.cfg.heartbeat_interval);
            if self.overlay.link(to).is_some_and(|it| it.monitored) {
                self.doubt(now, to, actions);
            }
        }
    }

    /// A monitored peer did not answer: have others probe it before it becomes suspect.
    fn doubt(&mut self, now: Timestamp, node: NodeId, actions: &mut Actions) {
        let Some(entry) = self.table.get(node.addr) else { return };
        if entry.member.node != node || entry.health != Health::Alive {
            return;
        }
        if entry.member.state == TargetState::Leaving {
            let gone = Change { health: Health::Gone, ..entry.clone() };
            self.merge(now, gone, None, actions);
            return;
        }
        if self.detector.doubt(node, now + self.cfg.indirect_timeout) {
            let helpers: Vec<NodeId> = self.links().iter().map(|it| it.node).collect();
            let helpers = helpers.into_iter().filter(|it| *it != node);
            for helper in helpers.take(self.cfg.indirect_probes) {
                let purpose = GossipPurpose::ProbeFor(node);
                let message = GossipMessage { purpose, changes: Vec::new() };
                self.send(helper, message, Exchange::Notice, actions);
            }
        }
    }

    fn on_target(&mut self, now: Timestamp, notice: TargetNotice, actions: &mut Actions) {
        let mut me = self.me.after_notice(notice);
        if self.is_leaving {
            me.state = TargetState::Leaving;
        }
        if me != self.me {
            me.version += 1;
            self.set_me(now, me, actions);
        }
    }

    fn on_leave(&mut self, now: Timestamp, actions: &mut Actions) {
        self.is_leaving = true;
        self.on_target(now, TargetNotice::Leaving, actions);
    }

    /// Lets a new entry of this node stand and spreads it.
    fn set_me(&mut self, now: Timestamp, me: Member, actions: &mut Actions) {
        self.me = me.clone();
        self.table.merge(now, Change::alive(me.clone()));
        self.outbox.spread(me.node.addr, None, now);
        actions.push(MembershipAction::Up(me));
    }

    /// Merges changes and returns the later ones that this node holds instead.
    fn merge_all(
        &mut self,
        now: Timestamp,
        changes: Vec<Change>,
        from: Option<NodeId>,
        actions: &mut Actions,
    ) -> Vec<Change> {
        let merge = |change| self.merge(now, change, from, actions);
        changes.into_iter().filter_map(merge).collect()
    }

    fn merge(
        &mut self,
        now: Timestamp,
        change: Change,
        from: Option<NodeId>,
        actions: &mut Actions,
    ) -> Option<Change> {
        let addr = change.addr();
        if addr == self.me.node.addr {
            return self.merge_own(now, &change, actions);
        }
        if change.health == Health::Gone && self.table.get(addr).is_none() {
            return None; // it was forgotten here
        }
        match self.table.merge(now, change.clone()) {
            Merged::Known => None,
            Merged::Older(newer) => Some(newer),
            Merged::Stands(before) => {
                self.after_merge(now, before, change, actions);
                self.outbox.spread(addr, from, now + self.cfg.push_interval);
                None
            }
        }
    }

    /// Refutes what others say about this node, or about an earlier process at its address.
    fn merge_own(
        &mut self,
        now: Timestamp,
        change: &Change,
        actions: &mut Actions,
    ) -> Option<Change> {
        let mine = Change::alive(self.me.clone());
        if change.stamp() > mine.stamp() {
            let version = change.member.version + 1;
            self.set_me(now, Member { version, ..self.me.clone() }, actions);
            return Some(Change::alive(self.me.clone()));
        }
        (change.stamp() < mine.stamp()).then_some(mine)
    }

    fn after_merge(
        &mut self,
        now: Timestamp,
        before: Option<Change>,
        change: Change,
        actions: &mut Actions,
    ) {
        let addr = change.addr();
        match change.health {
            Health::Suspect => self.detector.suspect(addr, now + self.cfg.suspicion_timeout),
            Health::Alive | Health::Gone => self.detector.clear_suspect(addr),
        }
        let was_live = before.filter(|it| it.health != Health::Gone).map(|it| it.member);
        let is_live = (change.health != Health::Gone).then_some(change.member);
        let was_node = was_live.as_ref().map(|it| it.node);
        let is_node = is_live.as_ref().map(|it| it.node);
        if was_node != is_node {
            self.is_overlay_current = false;
            actions.extend(was_node.map(MembershipAction::Gone));
        }
        if is_live != was_live {
            actions.extend(is_live.map(MembershipAction::Up));
        }
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Actions) {
        if now.saturating_sub(self.last_tick) > self.cfg.pause_threshold {
            self.detector.restart(now, self.cfg.suspicion_timeout);
        }
        self.last_tick = now;
        if !self.is_announced {
            self.is_announced = true;
            actions.push(MembershipAction::Up(self.me.clone()));
        }
        self.end_doubts(now, actions);
        self.end_suspicions(now, actions);
        self.update_overlay(now, actions);
        self.try_seeds(now, actions);
        self.push_due(now, actions);
        if self.next_sync <= now {
            self.sync_with_someone(now, actions);
        }
    }

    fn end_doubts(&mut self, now: Timestamp, actions: &mut Actions) {
        for node in self.detector.take_unreached(now) {
            let entry = self.table.get(node.addr);
            let alive = entry.filter(|it| it.member.node == node && it.health == Health::Alive);
            if let Some(entry) = alive {
                let suspect = Change { health: Health::Suspect, ..entry.clone() };
                self.merge(now, suspect, None, actions);
            }
        }
    }

    fn end_suspicions(&mut self, now: Timestamp, actions: &mut Actions) {
        for addr in self.detector.take_unrefuted(now) {
            let Some(entry) = self.table.get(addr) else { continue };
            let link = self.overlay.link(entry.member.node);
            let decides =
                entry.member.region == self.me.region || link.is_some_and(|it| it.monitored);
            if decides && entry.health == Health::Suspect {
                let gone = Change { health: Health::Gone, ..entry.clone() };
                self.merge(now, gone, None, actions);
            }
        }
    }

    fn update_overlay(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.is_overlay_current {
            return;
        }
        self.is_overlay_current = true;
        self.overlay_generation += 1;
        let (rings, bridges) = (self.cfg.rings, self.cfg.bridges);
        self.overlay = Overlay::new(&self.me, self.table.live(), rings, bridges);
        for node in self.outbox.set_links(self.overlay.links()) {
            let part = self.rng.random_range(0.0..1.0);
            self.outbox.schedule(node, now + self.cfg.heartbeat_interval.mul_f64(part));
            self.sync(node, 0, 0, actions);
        }
    }

    fn try_seeds(&mut self, now: Timestamp, actions: &mut Actions) {
        let table = &self.table;
        let is_member = |addr| table.get(addr).is_some_and(|it| it.health != Health::Gone);
        for addr in self.seeds.take_due(now, self.cfg.max_seed_backoff, is_member) {
            self.sync(NodeId { addr, incarnation: ANY_INCARNATION }, 0, 0, actions);
        }
    }

    fn push_due(&mut self, now: Timestamp, actions: &mut Actions) {
        for to in self.outbox.due(now) {
            let heartbeat_at = now + self.cfg.heartbeat_interval;
            let exchange = self.next_exchange;
            let entries = self.outbox.start(to, exchange, self.cfg.max_changes, heartbeat_at);
            let changes = entries.iter().filter_map(|it| self.table.get(*it)).cloned().collect();
            let message = GossipMessage::push(changes);
            self.send(to, message, Exchange::Push { to, entries }, actions);
        }
    }

    fn sync_with_someone(&mut self, now: Timestamp, actions: &mut Actions) {
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_sync = now + self.cfg.sync_interval.mul_f64(jitter);
        if let Some(before) = now.checked_sub(self.cfg.gone_retention) {
            self.table.forget_gone(before);
        }
        let pick = self.rng.random_range(0..RANDOM_SYNC_PERIOD);
        let mut candidates: Vec<NodeId> = match pick {
            0 => self.region().filter(|it| *it != self.me.node).collect(),
            1 => self.gone_nodes(),
            _ => Vec::new(),
        };
        if candidates.is_empty() {
            candidates = self.links().iter().map(|it| it.node).collect();
        }
        if !candidates.is_empty() {
            let to = candidates[self.rng.random_range(0..candidates.len())];
            self.sync(to, 0, 0, actions);
        }
    }

    /// Members that are gone, to find them again after a cut in the network.
    fn gone_nodes(&self) -> Vec<NodeId> {
        let incarnation = ANY_INCARNATION;
        self.table.gone().map(|addr| NodeId { addr, incarnation }).collect()
    }

    fn sync(&mut self, to: NodeId, first: BucketId, rounds: u32, actions: &mut Actions) {
        if to.addr == self.me.node.addr {
            return;
        }
        let purpose = GossipPurpose::Sync { digest: self.table.digest().clone(), first };
        let changes = vec![Change::alive(self.me.clone())];
        let message = GossipMessage { purpose, changes };
        self.send(to, message, Exchange::Sync { to, rounds }, actions);
    }

    fn send(
        &mut self,
        to: NodeId,
        message: GossipMessage,
        purpose: Exchange,
        actions: &mut Actions,
    ) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        self.exchanges.insert(exchange, purpose);
        let timeout = self.cfg.reply_timeout;
        actions.push(MembershipAction::Send { exchange, to, message, timeout });
    }
}

impl Policy for Membership {
    type Event = MembershipEvent;
    type Action = MembershipAction;

    fn handle(&mut self, now: Timestamp, event: MembershipEvent, actions: &mut Actions) {
        match event {
            MembershipEvent::Message(from, message) => {
                self.on_message(now, from, message, actions);
            }
            MembershipEvent::Reply(exchange, reply) => {
                self.on_reply(now, exchange, reply, actions);
            }
            MembershipEvent::Failed(exchange) => self.on_failed(now, exchange, actions),
            MembershipEvent::Seeds(addrs) => self.seeds.add(now, addrs, self.cfg.seed_backoff),
            MembershipEvent::Target(notice) => self.on_target(now, notice, actions),
            MembershipEvent::Leave => self.on_leave(now, actions),
            MembershipEvent::Tick => self.on_tick(now, actions),
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.is_announced || !self.is_overlay_current {
            return Some(self.last_tick);
        }
        let timers = [self.outbox.wakeup(), self.detector.wakeup(), self.seeds.wakeup()];
        timers.into_iter().flatten().chain([self.next_sync]).min()
    }
}
