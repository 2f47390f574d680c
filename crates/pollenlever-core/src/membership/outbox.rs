use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Link;
use crate::Timestamp;
use crate::id::{ExchangeId, NodeId};

#[derive(Debug, Default)]
struct Pending {
    entries: BTreeSet<SocketAddr>,
    push_at: Option<Timestamp>,
    heartbeat_at: Timestamp,
    in_flight: Option<ExchangeId>,
}

/// Entries that each link has yet to be told of.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    links: BTreeMap<NodeId, Pending>,
}

impl Outbox {
    /// Keeps just these links and returns those that are new.
    pub(super) fn set_links(&mut self, links: &[Link]) -> Vec<NodeId> {
        self.links.retain(|node, _| links.iter().any(|it| it.node == *node));
        let mut added = Vec::new();
        for link in links {
            self.links.entry(link.node).or_insert_with(|| {
                added.push(link.node);
                Pending::default()
            });
        }
        added
    }

    /// Queues an entry for every link but `except`.
    pub(super) fn spread(&mut self, addr: SocketAddr, except: Option<NodeId>, push_at: Timestamp) {
        for (node, pending) in &mut self.links {
            if Some(*node) != except {
                pending.entries.insert(addr);
                pending.push_at.get_or_insert(push_at);
            }
        }
    }

    /// Queues an entry for one link.
    pub(super) fn queue(&mut self, to: NodeId, addr: SocketAddr, push_at: Timestamp) {
        if let Some(pending) = self.links.get_mut(&to) {
            pending.entries.insert(addr);
            pending.push_at.get_or_insert(push_at);
        }
    }

    /// Links that are due for a push or a heartbeat.
    pub(super) fn due(&self, now: Timestamp) -> Vec<NodeId> {
        let due = |it: &Pending| it.wakeup().is_some_and(|at| at <= now);
        self.links.iter().filter(|(_, it)| due(it)).map(|(node, _)| *node).collect()
    }

    /// Takes at most `max` entries for a push that starts now.
    pub(super) fn start(
        &mut self,
        to: NodeId,
        exchange: ExchangeId,
        max: usize,
        heartbeat_at: Timestamp,
    ) -> Vec<SocketAddr> {
        let Some(pending) = self.links.get_mut(&to) else { return Vec::new() };
        let taken: Vec<SocketAddr> = pending.entries.iter().copied().take(max).collect();
        for addr in &taken {
            pending.entries.remove(addr);
        }
        if pending.entries.is_empty() {
            pending.push_at = None;
        }
        pending.in_flight = Some(exchange);
        pending.heartbeat_at = heartbeat_at;
        taken
    }

    /// Ends a push; entries that were not delivered are queued again.
    pub(super) fn end(
        &mut self,
        to: NodeId,
        exchange: ExchangeId,
        undelivered: &[SocketAddr],
        retry_at: Timestamp,
    ) {
        let Some(pending) = self.links.get_mut(&to) else { return };
        if pending.in_flight == Some(exchange) {
            pending.in_flight = None;
        }
        if !undelivered.is_empty() {
            pending.entries.extend(undelivered);
            pending.push_at = Some(retry_at);
        }
    }

    /// Sets the first heartbeat of a new link.
    pub(super) fn schedule(&mut self, to: NodeId, heartbeat_at: Timestamp) {
        if let Some(pending) = self.links.get_mut(&to) {
            pending.heartbeat_at = heartbeat_at;
        }
    }

    /// Time of the next push or heartbeat.
    pub(super) fn wakeup(&self) -> Option<Timestamp> {
        self.links.values().filter_map(Pending::wakeup).min()
    }
}

impl Pending {
    fn wakeup(&self) -> Option<Timestamp> {
        if self.in_flight.is_some() {
            return None;
        }
        Some(self.push_at.map_or(self.heartbeat_at, |it| it.min(self.heartbeat_at)))
    }
}
