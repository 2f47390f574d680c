use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::peer::Peer;
use super::peers::Peers;
use super::tier::Tier;
use super::{ChoiceKind, NoRoute, RouteRequest, RoutingSettings};
use crate::Timestamp;
use crate::admission::chain_share;
use crate::answer::ErrorKind;
use crate::id::{ChainId, NodeId};

/// Factor by which a nearer full target must be fuller than a farther one to be passed over.
const FAR_FACTOR: f64 = 1.25;
/// The same for a target in another region, whose bytes are dear.
const OTHER_REGION_FACTOR: f64 = 3.0;
/// Shortest time after which a caller that found no target may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// One choice among the nodes of a service.
pub(super) struct Choice<'a> {
    pub(super) now: Timestamp,
    pub(super) settings: &'a RoutingSettings,
    pub(super) rng: &'a mut SmallRng,
    pub(super) peers: &'a mut Peers,
}

impl Choice<'_> {
    pub(super) fn choose(&mut self, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute> {
        let candidates = self.candidates(req);
        if candidates.is_empty() {
            return Err(no_route(ErrorKind::NoTarget, Duration::ZERO, req.chain));
        }
        let open = self.open(req, &candidates);
        if open.is_empty() {
            return self.probe_or_refuse(req, &candidates);
        }
        let stays_near =
            !req.is_urgent() && self.peers.nodes.values().any(|it| it.tier != Tier::Other);
        let mut fallback: Option<(NodeId, f64)> = None;
        for tier in Tier::ALL {
            let in_tier: Vec<_> =
                open.iter().copied().filter(|it| self.peer(it).tier == tier).collect();
            let Some(node) = self.pick(&in_tier) else { continue };
            let utilisation = self.peer(&node).utilisation(self.now, self.settings);
            let has_room = utilisation < self.settings.spill_at;
            if tier == Tier::Other && stays_near && !has_room {
                break;
            }
            if has_room && (tier != Tier::Other || fallback.is_none()) {
                return Ok(node);
            }
            let factor = if tier == Tier::Other { OTHER_REGION_FACTOR } else { FAR_FACTOR };
            if fallback.is_none_or(|(_, nearer)| utilisation * factor < nearer) {
                fallback = Some((node, utilisation));
            }
        }
        fallback.map(|(node, _)| node).ok_or_else(|| self.overloaded(req, &candidates))
    }

    fn peer(&self, node: &NodeId) -> &Peer {
        &self.peers.nodes[node]
    }

    /// Nodes that may get the request; those that fail only if there are no others.
    fn candidates(&mut self, req: &RouteRequest<'_>) -> Vec<NodeId> {
        let far = self.peers.budget.allows(self.now);
        let allowed = self.peers.nodes.iter().filter(|(node, peer)| {
            !peer.is_leaving(self.now)
                && !req.tried.contains(node)
                && (far || peer.tier != Tier::Other)
        });
        let allowed: Vec<_> = allowed.map(|(node, _)| *node).collect();
        let usable: Vec<_> =
            allowed.iter().copied().filter(|it| self.peer(it).is_usable(self.now)).collect();
        let usable = if usable.is_empty() { allowed } else { usable };
        let sound: Vec<_> =
            usable.iter().copied().filter(|it| !self.peer(it).is_failing(self.now)).collect();
        if sound.is_empty() { usable } else { sound }
    }

    /// Candidates that did not say that they shed requests of this importance.
    fn open(&self, req: &RouteRequest<'_>, candidates: &[NodeId]) -> Vec<NodeId> {
        let sheds = |it: &NodeId| self.peer(it).sheds(self.now, req.importance, self.settings);
        candidates.iter().copied().filter(|it| !sheds(it)).collect()
    }

    fn probe_or_refuse(
        &mut self,
        req: &RouteRequest<'_>,
        candidates: &[NodeId],
    ) -> Result<NodeId, NoRoute> {
        let interval = self.settings.probe_interval;
        if self.peers.probes.try_probe(self.now, req.importance, interval)
            && let Some(node) = self.pick(candidates)
        {
            return Ok(node);
        }
        Err(self.overloaded(req, candidates))
    }

    fn overloaded(&self, req: &RouteRequest<'_>, candidates: &[NodeId]) -> NoRoute {
        let backlog = candidates.iter().map(|it| self.peer(it).backlog()).min();
        no_route(ErrorKind::Overloaded, backlog.unwrap_or_default(), req.chain)
    }

    fn pick(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        match self.settings.choice {
            ChoiceKind::TwoRandom => self.pick_two(nodes),
            ChoiceKind::LeastInFlight => {
                nodes.iter().copied().min_by_key(|it| self.peer(it).in_flight())
            }
            ChoiceKind::InTurn => {
                self.peers.turn = self.peers.turn.wrapping_add(1);
                nodes.get(self.peers.turn % nodes.len().max(1)).copied()
            }
        }
    }

    fn pick_two(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        let warm: Vec<_> = nodes.iter().copied().filter(|it| self.draw_share(it)).collect();
        let nodes = if warm.is_empty() { nodes } else { &warm };
        if nodes.len() < 2 {
            return nodes.first().copied();
        }
        let first = self.rng.random_range(0..nodes.len());
        let second = (first + self.rng.random_range(1..nodes.len())) % nodes.len();
        let cost = |it: &NodeId| self.peer(it).cost(self.now, self.settings);
        let (a, b) = (nodes[first], nodes[second]);
        Some(if cost(&b) < cost(&a) { b } else { a })
    }

    /// Whether a target takes part in a choice; a cold one only for its share.
    fn draw_share(&mut self, node: &NodeId) -> bool {
        let ramp_up = self.peers.cfg.as_ref().map_or(Duration::ZERO, |it| it.ramp_up);
        let share = self.peer(node).share(self.now, ramp_up, self.settings);
        share >= 1.0 || self.rng.random_bool(share)
    }
}

pub(super) fn no_route(error: ErrorKind, backlog: Duration, chain: ChainId) -> NoRoute {
    let spread = 0.5 + chain_share(chain);
    NoRoute { error, retry_after: (backlog + MIN_RETRY_AFTER).mul_f64(spread) }
}
