use rand::Rng;

use super::exchange::Exchange;
use super::membership::{Actions, RANDOM_SYNC_PERIOD};
use super::{Change, GossipMessage, Health, Membership, MembershipAction, Overlay};
use crate::Timestamp;
use crate::id::{ANY_INCARNATION, NodeId};

/// Periodic work: failure detection, links, seeds, heartbeats, pushes and syncs.
impl Membership {
    pub(super) fn on_tick(&mut self, now: Timestamp, actions: &mut Actions) {
        if now.saturating_sub(self.last_tick) > self.cfg.pause_threshold {
            self.detector.reset_after_pause(now, self.cfg.suspicion_timeout);
        }
        self.last_tick = now;
        if !self.is_announced {
            self.is_announced = true;
            actions.push(MembershipAction::Updated(self.me.clone()));
        }
        self.expire_indirect_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.update_overlay(now, actions);
        self.try_seeds(now, actions);
        self.push_due_links(now, actions);
        if self.next_sync <= now {
            self.sync_with_random_peer(now, actions);
        }
    }

    pub(super) fn expire_indirect_probes(&mut self, now: Timestamp, actions: &mut Actions) {
        for node in self.detector.take_timed_out_probes(now) {
            let entry = self.table.get(node.addr);
            let alive = entry.filter(|it| it.member.node == node && it.health == Health::Alive);
            if let Some(entry) = alive {
                let suspect = Change { health: Health::Suspect, ..entry.clone() };
                self.merge(now, suspect, None, actions);
            }
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Actions) {
        for addr in self.detector.take_timed_out_suspicions(now) {
            let Some(entry) = self.table.get(addr) else { continue };
            let link = self.overlay.link(entry.member.node);
            let is_responsible =
                entry.member.region == self.me.region || link.is_some_and(|it| it.is_monitored);
            if is_responsible && entry.health == Health::Suspect {
                let gone = Change { health: Health::Gone, ..entry.clone() };
                self.merge(now, gone, None, actions);
            }
        }
    }

    pub(super) fn update_overlay(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.is_overlay_current {
            return;
        }
        self.is_overlay_current = true;
        self.link_generation += 1;
        let (rings, bridges) = (self.cfg.rings, self.cfg.bridges);
        self.overlay = Overlay::new(&self.me, self.table.live(), rings, bridges);
        for node in self.outbox.set_links(self.overlay.links()) {
            let fraction = self.rng.random_range(0.0..1.0);
            self.outbox
                .schedule_heartbeat(node, now + self.cfg.heartbeat_interval.mul_f64(fraction));
            self.sync(node, 0, 0, actions);
        }
    }

    pub(super) fn try_seeds(&mut self, now: Timestamp, actions: &mut Actions) {
        let table = &self.table;
        let is_member = |addr| table.get(addr).is_some_and(|it| it.health != Health::Gone);
        for addr in self.seeds.take_due(now, self.cfg.max_seed_backoff, is_member) {
            self.sync(NodeId { addr, incarnation: ANY_INCARNATION }, 0, 0, actions);
        }
    }

    pub(super) fn push_due_links(&mut self, now: Timestamp, actions: &mut Actions) {
        for to in self.outbox.due_links(now) {
            let heartbeat_at = now + self.cfg.heartbeat_interval;
            let exchange = self.next_exchange;
            let entries = self.outbox.start_push(to, exchange, self.cfg.max_changes, heartbeat_at);
            let changes = entries.iter().filter_map(|it| self.table.get(*it)).cloned().collect();
            let message = GossipMessage::push(changes);
            self.send(to, message, Exchange::Push { to, entries }, actions);
        }
    }

    pub(super) fn sync_with_random_peer(&mut self, now: Timestamp, actions: &mut Actions) {
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_sync = now + self.cfg.sync_interval.mul_f64(jitter);
        if let Some(before) = now.checked_sub(self.cfg.gone_retention) {
            self.table.forget_gone(before);
        }
        let pick = self.rng.random_range(0..RANDOM_SYNC_PERIOD);
        let mut candidates: Vec<NodeId> = match pick {
            0 => self.region_members().filter(|it| *it != self.me.node).collect(),
            1 => self.gone_addresses(),
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

    /// Addresses of members that are gone, to find them again after a network partition.
    pub(super) fn gone_addresses(&self) -> Vec<NodeId> {
        let incarnation = ANY_INCARNATION;
        self.table.gone().map(|addr| NodeId { addr, incarnation }).collect()
    }
}
