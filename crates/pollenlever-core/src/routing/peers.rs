use std::collections::BTreeMap;
use std::sync::Arc;

use super::byte_budget::ByteBudget;
use super::peer::Peer;
use super::probe_timer::ProbeTimer;
use crate::config::ServiceConfig;
use crate::id::NodeId;

/// The nodes of one service, and what this node may send them.
#[derive(Debug, Default)]
pub(super) struct Peers {
    pub(super) cfg: Option<Arc<ServiceConfig>>,
    pub(super) nodes: BTreeMap<NodeId, Peer>,
    pub(super) budget: ByteBudget,
    pub(super) probes: ProbeTimer,
    /// Number of the next choice in turn.
    pub(super) turn: usize,
}

impl Peers {
    pub(super) fn configure(&mut self, cfg: Arc<ServiceConfig>) {
        self.budget.set_rate(cfg.cross_region_bytes);
        self.cfg = Some(cfg);
    }
}
