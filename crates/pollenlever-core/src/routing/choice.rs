use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::peer::Peer;
use super::service_peers::ServicePeers;
use super::tier::Tier;
use super::{ChoiceKind, NoRoute, RouteRequest, RoutingSettings};
use crate::Timestamp;
use crate::admission::chain_fraction;
use crate::answer::ErrorKind;
use crate::id::{ChainId, NodeId};

/// A full target is passed over for one in a farther tier only if its utilisation is higher by this
/// factor.
const FARTHER_TIER_FACTOR: f64 = 1.25;
/// The same factor for a target in another region; it is higher because traffic between regions is
/// expensive.
const OTHER_REGION_FACTOR: f64 = 1.5;
/// Base of the retry delay sent to a caller for which no target was found.
const BASE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Target picked in a tier, and how full it is.
struct PickedTarget {
    node: NodeId,
    /// Utilisation without reported slowdowns; the lowest one of this and nearer tiers.
    utilisation: f64,
    /// Utilisation times the reported slowdown.
    slowed_utilisation: f64,
}

/// Choice of a node among those of a service, for a single request.
pub(super) struct Choice<'a> {
    pub(super) now: Timestamp,
    pub(super) settings: &'a RoutingSettings,
    pub(super) rng: &'a mut SmallRng,
    pub(super) peers: &'a mut ServicePeers,
}

impl Choice<'_> {
    pub(super) fn choose(&mut self, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute> {
        let candidates = self.candidates(req);
        if candidates.is_empty() {
            return Err(no_route(ErrorKind::NoTarget, Duration::ZERO, req.chain));
        }
        let accepting = self.accepting(req, &candidates);
        if accepting.is_empty() {
            return self.probe_or_refuse(req, &candidates);
        }
        let prefers_own_region =
            !req.is_urgent() && self.peers.nodes.values().any(|it| it.tier != Tier::OtherRegion);
        let mut fallback: Option<PickedTarget> = None;
        for tier in Tier::ALL {
            let in_tier: Vec<_> =
                accepting.iter().copied().filter(|it| self.peer(it).tier == tier).collect();
            let Some(node) = self.pick(&in_tier) else { continue };
            let target = self.picked_target(node);
            let has_room = target.slowed_utilisation < self.settings.spill_utilisation;
            if tier == Tier::OtherRegion && prefers_own_region && !has_room {
                break;
            }
            if has_room && (tier != Tier::OtherRegion || fallback.is_none()) {
                return Ok(node);
            }
            fallback = match fallback {
                None => Some(target),
                Some(nearer) if self.is_less_full(&target, tier, &nearer) => {
                    let utilisation = target.utilisation.min(nearer.utilisation);
                    Some(PickedTarget { utilisation, ..target })
                }
                kept => kept,
            };
        }
        fallback.map(|it| it.node).ok_or_else(|| self.overloaded(req, &candidates))
    }

    fn picked_target(&self, node: NodeId) -> PickedTarget {
        let peer = self.peer(&node);
        let utilisation = peer.utilisation(self.now, self.settings);
        let slowed_utilisation =
            peer.slowed_utilisation(self.now, self.settings, &self.peers.report_accuracy);
        PickedTarget { node, utilisation, slowed_utilisation }
    }

    /// Whether a target of `tier` is preferred to the full one of a nearer tier. A reported slowdown
    /// alone sends no request to another region, since false reports could use up the byte budget.
    fn is_less_full(&self, target: &PickedTarget, tier: Tier, nearer: &PickedTarget) -> bool {
        if tier != Tier::OtherRegion {
            return target.slowed_utilisation * FARTHER_TIER_FACTOR < nearer.slowed_utilisation;
        }
        nearer.utilisation >= self.settings.spill_utilisation
            && target.slowed_utilisation * OTHER_REGION_FACTOR < nearer.utilisation
    }

    fn peer(&self, node: &NodeId) -> &Peer {
        &self.peers.nodes[node]
    }

    /// Nodes that may receive the request. Nodes in backoff and failing targets are included only
    /// if there are no others.
    fn candidates(&mut self, req: &RouteRequest<'_>) -> Vec<NodeId> {
        let other_regions_allowed = self.peers.budget.allows(self.now);
        let allowed = self.peers.nodes.iter().filter(|(node, peer)| {
            !peer.is_leaving(self.now)
                && !req.tried.contains(node)
                && (other_regions_allowed || peer.tier != Tier::OtherRegion)
        });
        let allowed: Vec<_> = allowed.map(|(node, _)| *node).collect();
        let usable: Vec<_> =
            allowed.iter().copied().filter(|it| self.peer(it).is_usable(self.now)).collect();
        let usable = if usable.is_empty() { allowed } else { usable };
        let healthy: Vec<_> =
            usable.iter().copied().filter(|it| !self.peer(it).is_failing(self.now)).collect();
        if healthy.is_empty() { usable } else { healthy }
    }

    /// Candidates that have not recently reported that they shed requests of this importance.
    fn accepting(&self, req: &RouteRequest<'_>, candidates: &[NodeId]) -> Vec<NodeId> {
        let is_shedding =
            |it: &NodeId| self.peer(it).is_shedding(self.now, req.importance, self.settings);
        candidates.iter().copied().filter(|it| !is_shedding(it)).collect()
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
        let drain_time = candidates.iter().map(|it| self.peer(it).queue_drain_time()).min();
        no_route(ErrorKind::Overloaded, drain_time.unwrap_or_default(), req.chain)
    }

    fn pick(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        match self.settings.choice {
            ChoiceKind::TwoRandom => self.pick_better_of_two(nodes),
            ChoiceKind::LeastInFlight => {
                nodes.iter().copied().min_by_key(|it| self.peer(it).in_flight())
            }
            ChoiceKind::RoundRobin => {
                self.peers.choices_made = self.peers.choices_made.wrapping_add(1);
                nodes.get(self.peers.choices_made % nodes.len().max(1)).copied()
            }
        }
    }

    /// The better one of two random targets; of three if that one reports a slowdown.
    fn pick_better_of_two(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        let warm: Vec<_> = nodes.iter().copied().filter(|it| self.takes_part(it)).collect();
        let nodes = if warm.is_empty() { nodes } else { &warm };
        if nodes.len() < 2 {
            return nodes.first().copied();
        }
        let first = self.rng.random_range(0..nodes.len());
        let second = (first + self.rng.random_range(1..nodes.len())) % nodes.len();
        let better = self.better(nodes[first], nodes[second]);
        if self.peer(&better).slowdown(self.now, &self.peers.report_accuracy) <= 1.0 {
            return Some(better);
        }
        let third = self.rng.random_range(0..nodes.len());
        Some(self.better(better, nodes[third]))
    }

    fn better(&self, a: NodeId, b: NodeId) -> NodeId {
        let accuracy = &self.peers.report_accuracy;
        let cost = |it: &NodeId| self.peer(it).cost(self.now, self.settings, accuracy);
        if cost(&b) < cost(&a) { b } else { a }
    }

    /// Decides at random whether a target takes part in a choice. A cold one does with a probability
    /// equal to its load share.
    fn takes_part(&mut self, node: &NodeId) -> bool {
        let ramp_up = self.peers.cfg.as_ref().map_or(Duration::ZERO, |it| it.ramp_up);
        let share = self.peer(node).load_share(self.now, ramp_up, self.settings);
        share >= 1.0 || self.rng.random_bool(share)
    }
}

pub(super) fn no_route(error: ErrorKind, drain_time: Duration, chain: ChainId) -> NoRoute {
    let spread_factor = 0.5 + chain_fraction(chain);
    NoRoute { error, retry_after: (drain_time + BASE_RETRY_AFTER).mul_f64(spread_factor) }
}
