use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::exchange::Exchange;
use super::membership::{Actions, MAX_FOLLOW_UP_SYNCS};
use super::{
    Change, GossipMessage, GossipPurpose, Health, Membership, MembershipAction, Stamp, TargetState,
};
use crate::Timestamp;
use crate::id::{ExchangeId, NodeId};

/// Handles messages from other members, and replies to the messages of this node.
impl Membership {
    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: GossipMessage,
        actions: &mut Actions,
    ) {
        self.detector.cancel_indirect_probe(from);
        let newer = self.merge_all(now, message.changes, Some(from), actions);
        let mut reply = match message.purpose {
            GossipPurpose::Sync { digest, first } => {
                self.table.differing_buckets(&digest, first, self.cfg.max_changes)
            }
            GossipPurpose::IndirectProbe(node) => {
                let probe = Exchange::IndirectProbe { node, requester: from };
                self.send(node, GossipMessage::default(), probe, actions);
                GossipMessage::default()
            }
            GossipPurpose::ProbeSucceeded(node) => {
                self.detector.cancel_indirect_probe(node);
                GossipMessage::default()
            }
            GossipPurpose::Push | GossipPurpose::Buckets { .. } => GossipMessage::default(),
        };
        reply.changes.extend(newer);
        let sender = self.table.get(from.addr);
        let not_alive = sender.filter(|it| it.member.node == from && it.health != Health::Alive);
        reply.changes.extend(not_alive.cloned());
        actions.push(MembershipAction::Reply(reply));
    }

    pub(super) fn on_reply(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: GossipMessage,
        actions: &mut Actions,
    ) {
        let Some(ended) = self.exchanges.remove(&exchange) else { return };
        match ended {
            Exchange::Push { to, .. } => {
                self.detector.cancel_indirect_probe(to);
                self.outbox.end_push(to, exchange, &[], now);
                self.merge_all(now, reply.changes, Some(to), actions);
                if self.table.get(to.addr).is_some_and(|it| it.health == Health::Suspect) {
                    self.outbox.queue_for(to, to.addr, now); // lets the peer refute the suspicion
                }
            }
            Exchange::IndirectProbe { node, requester } => {
                self.merge_all(now, reply.changes, Some(node), actions);
                let purpose = GossipPurpose::ProbeSucceeded(node);
                let message = GossipMessage { purpose, changes: Vec::new() };
                self.send(requester, message, Exchange::Notice, actions);
            }
            Exchange::Sync { to, rounds } => self.on_buckets(now, to, rounds, reply, actions),
            Exchange::Notice => {
                self.merge_all(now, reply.changes, None, actions);
            }
        }
    }

    /// Merges the buckets of a sync and sends the peer the entries that it lacks in them. Continues
    /// with the next buckets if more differ.
    pub(super) fn on_buckets(
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
        let GossipPurpose::Buckets { buckets, has_more } = reply.purpose else { return };
        let mut missing = self.table.newer_in(&buckets, &theirs);
        missing.truncate(self.cfg.max_changes);
        if !missing.is_empty() {
            self.send(to, GossipMessage::push(missing), Exchange::Notice, actions);
        }
        let last = buckets.last().copied().unwrap_or_default();
        if has_more && rounds < MAX_FOLLOW_UP_SYNCS {
            self.sync(to, last.wrapping_add(1), rounds + 1, actions);
        } else {
            self.has_synced = true;
        }
    }

    pub(super) fn on_failed(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        actions: &mut Actions,
    ) {
        if let Some(Exchange::Push { to, entries }) = self.exchanges.remove(&exchange) {
            self.outbox.end_push(to, exchange, &entries, now + self.cfg.heartbeat_interval);
            if self.overlay.link(to).is_some_and(|it| it.is_monitored) {
                self.probe_indirectly(now, to, actions);
            }
        }
    }

    /// Asks other members to probe a monitored peer that did not answer, before it becomes suspect.
    /// A peer that was leaving is considered gone at once.
    pub(super) fn probe_indirectly(&mut self, now: Timestamp, node: NodeId, actions: &mut Actions) {
        let Some(entry) = self.table.get(node.addr) else { return };
        if entry.member.node != node || entry.health != Health::Alive {
            return;
        }
        if entry.member.state == TargetState::Leaving {
            let gone = Change { health: Health::Gone, ..entry.clone() };
            self.merge(now, gone, None, actions);
            return;
        }
        if self.detector.start_indirect_probe(node, now + self.cfg.indirect_timeout) {
            let helpers: Vec<NodeId> = self.links().iter().map(|it| it.node).collect();
            let helpers = helpers.into_iter().filter(|it| *it != node);
            for helper in helpers.take(self.cfg.indirect_probes) {
                let purpose = GossipPurpose::IndirectProbe(node);
                let message = GossipMessage { purpose, changes: Vec::new() };
                self.send(helper, message, Exchange::Notice, actions);
            }
        }
    }
}
