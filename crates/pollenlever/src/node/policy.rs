use pollenlever_core::id::NodeId;
use pollenlever_core::naive::NaivePolicy;
use pollenlever_core::policy::BoxPolicy;

use crate::settings::{PolicyName, Settings};

/// The policy that the settings name.
pub(super) fn policy(cfg: &Settings, me: NodeId) -> BoxPolicy {
    match cfg.policy {
        PolicyName::Naive | PolicyName::Pollenlever => Box::new(NaivePolicy::new(me)),
    }
}
