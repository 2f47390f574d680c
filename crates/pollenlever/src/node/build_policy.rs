use pollenlever_core::admission::{AdmissionSettings, PriorityAdmission};
use pollenlever_core::id::NodeId;
use pollenlever_core::naive::NaivePolicy;
use pollenlever_core::node::{Node, NodeSettings};
use pollenlever_core::policy::BoxPolicy;
use pollenlever_core::routing::{RoutingSettings, TwoChoices};

use crate::settings::{PolicyName, Settings};

/// Builds the policy that the settings name.
pub(super) fn build_policy(cfg: &Settings, local_node: NodeId) -> BoxPolicy {
    match cfg.policy {
        PolicyName::Naive => Box::new(NaivePolicy::new(local_node)),
        PolicyName::Pollenlever => Box::new(build_pollenlever_policy(cfg, local_node)),
    }
}

fn build_pollenlever_policy(cfg: &Settings, local_node: NodeId) -> Node {
    let seed = cfg.seed.unwrap_or_else(rand::random);
    let (region, zone) = (cfg.region.as_str(), cfg.zone.as_str());
    let settings = NodeSettings { seed, ..NodeSettings::default() };
    let admission = PriorityAdmission::new(AdmissionSettings::default());
    let routing_settings = RoutingSettings { seed, ..RoutingSettings::default() };
    let routing = TwoChoices::new(local_node, region.into(), zone.into(), routing_settings);
    Node::new(
        local_node,
        region.into(),
        zone.into(),
        settings,
        Box::new(admission),
        Box::new(routing),
    )
}
