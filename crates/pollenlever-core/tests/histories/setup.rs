use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::admission::{
    AdmissionSettings, BoxAdmission, FifoAdmission, PriorityAdmission,
};
use pollenlever_core::config::{Importance, PathPattern, RequestKind, ServiceConfig};
use pollenlever_core::id::NodeId;
use pollenlever_core::naive::NaivePolicy;
use pollenlever_core::node::{Node, NodeSettings};
use pollenlever_core::policy::BoxPolicy;
use pollenlever_core::routing::{RoutingSettings, TwoChoices};

use crate::machine::region;
use crate::policy_without::{Mechanism, PolicyWithout};

/// Maximum retries per chain.
pub(crate) const BUDGET: u32 = 3;

/// Creates the policy of machine `index`.
pub(crate) type MakePolicy = fn(seed: u64, index: usize, me: NodeId) -> BoxPolicy;

pub(crate) fn node(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    let admission = PriorityAdmission::new(AdmissionSettings::default());
    node_with(Box::new(admission), seed, index, me)
}

pub(crate) fn fifo_node(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    node_with(Box::new(FifoAdmission::default()), seed, index, me)
}

fn node_with(admission: BoxAdmission, seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    let cfg = NodeSettings { seed, ..NodeSettings::default() };
    let settings = RoutingSettings { seed, ..RoutingSettings::default() };
    let (region, zone) = (region(index), format!("{}-a", region(index)));
    let routing = Box::new(TwoChoices::new(me, region.into(), zone.clone().into(), settings));
    Box::new(Node::new(me, region.into(), zone.into(), cfg, admission, routing))
}

pub(crate) fn naive(_seed: u64, _index: usize, me: NodeId) -> BoxPolicy {
    Box::new(NaivePolicy::new(me))
}

pub(crate) fn without_seals(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    Box::new(PolicyWithout::new(node(seed, index, me), Mechanism::Seals))
}

pub(crate) fn without_grants(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    Box::new(PolicyWithout::new(node(seed, index, me), Mechanism::Grants))
}

pub(crate) fn without_drain(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    Box::new(PolicyWithout::new(node(seed, index, me), Mechanism::Drain))
}

pub(crate) fn without_suspicion(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    Box::new(PolicyWithout::new(node(seed, index, me), Mechanism::Suspicion))
}

pub(crate) fn without_digests(seed: u64, index: usize, me: NodeId) -> BoxPolicy {
    Box::new(PolicyWithout::new(node(seed, index, me), Mechanism::Digests))
}

pub(crate) fn config() -> Arc<ServiceConfig> {
    let kind = |name: &str, method: &str, is_idempotent| RequestKind {
        name: name.into(),
        method: method.to_owned(),
        path: PathPattern::from(format!("/{name}").as_str()),
        importance: if is_idempotent { Importance::Normal } else { Importance::Critical },
        is_idempotent,
        retry_budget: BUDGET,
        ..RequestKind::default()
    };
    let order = RequestKind { derive_key: true, ..kind("order", "POST", false) };
    let kinds = vec![
        kind("charge", "POST", false),
        kind("get", "GET", true),
        kind("deep", "GET", true),
        order,
    ];
    Arc::new(ServiceConfig {
        service: "charging".into(),
        version: 1,
        slots: 5,
        retry_ratio: 1.0,
        retention: Duration::from_secs(60),
        kinds,
        ..ServiceConfig::default()
    })
}
