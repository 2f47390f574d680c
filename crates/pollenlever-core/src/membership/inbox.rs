use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::exchange::Exchange;
use super::membership::{Actions, MAX_SYNC_ROUNDS};
use super::{
    Change, GossipMessage, GossipPurpose, Health, Membership, MembershipAction, Stamp, TargetState,
};
use crate::Timestamp;
use crate::id::{ExchangeId, NodeId};

/// Messages from other members and their replies.
impl Membership {
    pub(super) fn on_message(
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

    pub(super) fn on_failed(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        actions: &mut Actions,
    ) {
        if let Some(Exchange::Push { to, entries }) = self.exchanges.remove(&exchange) {
            self.outbox.end(to, exchange, &entries, now + self.cfg.heartbeat_interval);
            if self.overlay.link(to).is_some_and(|it| it.monitored) {
                self.doubt(now, to, actions);
            }
        }
    }

    /// A monitored peer did not answer: have others probe it before it becomes suspect.
    pub(super) fn doubt(&mut self, now: Timestamp, node: NodeId, actions: &mut Actions) {
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
}
