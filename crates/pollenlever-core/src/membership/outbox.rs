use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Link;
use crate::Timestamp;
use crate::id::{ExchangeId, NodeId};

/// State of one link: entries to push, and the times of the next push and heartbeat.
#[derive(Debug, Default)]
struct LinkState {
    entries: BTreeSet<SocketAddr>,
    push_at: Option<Timestamp>,
    heartbeat_at: Timestamp,
    in_flight: Option<ExchangeId>,
}

/// Entries that still have to be pushed over each link.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    links: BTreeMap<NodeId, LinkState>,
}

impl Outbox {
    /// Replaces the links, keeping the state of those that stay. Returns the new ones.
    pub(super) fn set_links(&mut self, links: &[Link]) -> Vec<NodeId> {
        self.links.retain(|node, _| links.iter().any(|it| it.node == *node));
        let mut added = Vec::new();
        for link in links {
            self.links.entry(link.node).or_insert_with(|| {
                added.push(link.node);
                LinkState::default()
            });
        }
        added
    }

    /// Queues an entry for every link except `except`. Sets the time of the link's next push to
    /// `push_at` unless a push is already scheduled.
    pub(super) fn queue_for_all(
        &mut self,
        addr: SocketAddr,
        except: Option<NodeId>,
        push_at: Timestamp,
    ) {
        for (node, link) in &mut self.links {
            if Some(*node) != except {
                link.entries.insert(addr);
                link.push_at.get_or_insert(push_at);
            }
        }
    }

    /// Queues an entry for one link, with `push_at` as in `queue_for_all`.
    pub(super) fn queue_for(&mut self, to: NodeId, addr: SocketAddr, push_at: Timestamp) {
        if let Some(link) = self.links.get_mut(&to) {
            link.entries.insert(addr);
            link.push_at.get_or_insert(push_at);
        }
    }

    /// Links on which a push or a heartbeat is due.
    pub(super) fn due_links(&self, now: Timestamp) -> Vec<NodeId> {
        let due = |it: &LinkState| it.wakeup().is_some_and(|at| at <= now);
        self.links.iter().filter(|(_, it)| due(it)).map(|(node, _)| *node).collect()
    }

    /// Starts a push: takes at most `max` queued entries and sets the time of the next heartbeat.
    pub(super) fn start_push(
        &mut self,
        to: NodeId,
        exchange: ExchangeId,
        max: usize,
        heartbeat_at: Timestamp,
    ) -> Vec<SocketAddr> {
        let Some(link) = self.links.get_mut(&to) else { return Vec::new() };
        let taken: Vec<SocketAddr> = link.entries.iter().copied().take(max).collect();
        for addr in &taken {
            link.entries.remove(addr);
        }
        if link.entries.is_empty() {
            link.push_at = None;
        }
        link.in_flight = Some(exchange);
        link.heartbeat_at = heartbeat_at;
        taken
    }

    /// Ends a push. Undelivered entries are queued again for a push at `retry_at`.
    pub(super) fn end_push(
        &mut self,
        to: NodeId,
        exchange: ExchangeId,
        undelivered: &[SocketAddr],
        retry_at: Timestamp,
    ) {
        let Some(link) = self.links.get_mut(&to) else { return };
        if link.in_flight == Some(exchange) {
            link.in_flight = None;
        }
        if !undelivered.is_empty() {
            link.entries.extend(undelivered);
            link.push_at = Some(retry_at);
        }
    }

    /// Sets the time of the first heartbeat on a new link.
    pub(super) fn schedule_heartbeat(&mut self, to: NodeId, heartbeat_at: Timestamp) {
        if let Some(link) = self.links.get_mut(&to) {
            link.heartbeat_at = heartbeat_at;
        }
    }

    /// Time of the next push or heartbeat; `None` without links or while all have a push in flight.
    pub(super) fn wakeup(&self) -> Option<Timestamp> {
        self.links.values().filter_map(LinkState::wakeup).min()
    }
}

impl LinkState {
    fn wakeup(&self) -> Option<Timestamp> {
        if self.in_flight.is_some() {
            return None;
        }
        Some(self.push_at.map_or(self.heartbeat_at, |it| it.min(self.heartbeat_at)))
    }
}
