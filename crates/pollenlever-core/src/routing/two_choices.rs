use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::choice::{Choice, no_route};
use super::peer::Peer;
use super::service_peers::ServicePeers;
use super::tier::Tier;
use super::{NoRoute, RouteRequest, Routing, RoutingSettings};
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::ServiceConfig;
use crate::id::{NodeId, RegionName, ServiceName, ZoneName};
use crate::membership::{Member, TargetState};
use crate::message::GateLoad;

/// Chooses the better of two random targets in the nearest tier that is not full.
///
/// Load is learned only from replies. A request goes to a target in the node's own availability
/// zone, else in its region, else in another region while the budget for bytes sent to and received
/// from other regions lasts.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::answer::ErrorKind;
/// use pollenlever_core::config::Importance;
/// use pollenlever_core::routing::{RouteRequest, Routing, RoutingSettings, TwoChoices};
/// let me = "127.0.0.1:7101@1f".parse().unwrap();
/// let settings = RoutingSettings { seed: 7, ..RoutingSettings::default() };
/// let mut routing = TwoChoices::new(me, "veneto".into(), "veneto-a".into(), settings);
/// let req = RouteRequest {
///     service: &"charging".into(),
///     importance: Importance::Critical,
///     chain: "127.0.0.1:7101@1f~2a".parse().unwrap(),
///     depth: 0,
///     bytes: 100,
///     tried: &[],
/// };
/// assert_eq!(routing.choose(Duration::ZERO, &req).unwrap_err().error, ErrorKind::NoTarget);
/// ```
#[derive(Debug)]
pub struct TwoChoices {
    region: RegionName,
    zone: ZoneName,
    settings: RoutingSettings,
    rng: SmallRng,
    services: HashMap<ServiceName, ServicePeers>,
    service_of: BTreeMap<NodeId, ServiceName>,
}

impl TwoChoices {
    /// Creates the routing of the node `me`, which runs in `zone` of `region`.
    ///
    /// The seed is combined with the node's incarnation, so that nodes with equal settings make
    /// different random choices.
    pub fn new(
        me: NodeId,
        region: RegionName,
        zone: ZoneName,
        settings: RoutingSettings,
    ) -> TwoChoices {
        TwoChoices {
            region,
            zone,
            rng: SmallRng::seed_from_u64(settings.seed ^ me.incarnation),
            settings,
            services: HashMap::new(),
            service_of: BTreeMap::new(),
        }
    }

    fn tier_of(&self, member: &Member) -> Tier {
        if member.region != self.region {
            Tier::OtherRegion
        } else if member.zone != self.zone {
            Tier::Region
        } else {
            Tier::Zone
        }
    }

    fn update_member(&mut self, now: Timestamp, member: &Member) {
        let is_serving = matches!(member.state, TargetState::Ready | TargetState::Cold);
        let Some(service) = member.service.clone().filter(|_| is_serving) else {
            return self.remove_member(member.node);
        };
        if self.service_of.get(&member.node).is_some_and(|it| *it != service) {
            self.remove_member(member.node);
        }
        let tier = self.tier_of(member);
        self.service_of.insert(member.node, service.clone());
        let nodes = &mut self.services.entry(service).or_default().nodes;
        let peer = nodes.entry(member.node).or_insert_with(|| Peer::new(now, tier, member));
        peer.update(now, member);
    }

    fn remove_member(&mut self, node: NodeId) {
        let Some(service) = self.service_of.remove(&node) else { return };
        if let Some(peers) = self.services.get_mut(&service) {
            peers.nodes.remove(&node);
        }
    }

    fn peers_of(&mut self, node: NodeId) -> Option<&mut ServicePeers> {
        let service = self.service_of.get(&node)?;
        self.services.get_mut(service)
    }

    /// Subtracts bytes from the budget if the node is in another region.
    fn spend_budget(&mut self, now: Timestamp, node: NodeId, bytes: u64) {
        let Some(peers) = self.peers_of(node) else { return };
        if peers.nodes.get(&node).is_some_and(|it| it.tier == Tier::OtherRegion) {
            peers.budget.spend(now, bytes);
        }
    }

    fn peer_mut(&mut self, node: NodeId) -> Option<&mut Peer> {
        self.peers_of(node)?.nodes.get_mut(&node)
    }
}

impl Routing for TwoChoices {
    fn configure(&mut self, cfg: Arc<ServiceConfig>) {
        self.services.entry(cfg.service.clone()).or_default().configure(cfg);
    }

    fn update_members(&mut self, now: Timestamp, members: &[Member]) {
        for member in members {
            self.update_member(now, member);
        }
    }

    fn remove_members(&mut self, _now: Timestamp, nodes: &[NodeId]) {
        for node in nodes {
            self.remove_member(*node);
        }
    }

    fn choose(&mut self, now: Timestamp, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute> {
        let Some(peers) = self.services.get_mut(req.service) else {
            return Err(no_route(ErrorKind::NoTarget, Duration::ZERO, req.chain));
        };
        Choice { now, settings: &self.settings, rng: &mut self.rng, peers }.choose(req)
    }

    fn record_sent(&mut self, now: Timestamp, node: NodeId, bytes: u64) {
        self.spend_budget(now, node, bytes);
        let settings = self.settings.clone();
        if let Some(peer) = self.peer_mut(node) {
            peer.record_sent(now, &settings);
        }
    }

    fn record_reply(
        &mut self,
        now: Timestamp,
        node: NodeId,
        latency: Duration,
        load: &GateLoad,
        bytes: u64,
    ) {
        self.spend_budget(now, node, bytes);
        let Some(ServicePeers { nodes, report_accuracy, .. }) = self.peers_of(node) else { return };
        if let Some(peer) = nodes.get_mut(&node) {
            peer.record_reply(now, latency, load, report_accuracy);
        }
    }

    fn record_failure(&mut self, now: Timestamp, node: NodeId) {
        let settings = self.settings.clone();
        if let Some(peer) = self.peer_mut(node) {
            peer.record_failure(now, &settings);
        }
    }

    fn record_cancelled(&mut self, _now: Timestamp, node: NodeId) {
        if let Some(peer) = self.peer_mut(node) {
            peer.record_cancelled();
        }
    }
}
