use std::collections::BTreeMap;
use std::sync::Arc;

use super::byte_budget::ByteBudget;
use super::peer::Peer;
use super::probe_timer::ProbeTimer;
use super::report_accuracy::ReportAccuracy;
use crate::config::ServiceConfig;
use crate::id::NodeId;

/// Nodes that serve one service, and the limits on sending requests to them.
#[derive(Debug, Default)]
pub(super) struct ServicePeers {
    pub(super) cfg: Option<Arc<ServiceConfig>>,
    pub(super) nodes: BTreeMap<NodeId, Peer>,
    pub(super) budget: ByteBudget,
    pub(super) probes: ProbeTimer,
    pub(super) report_accuracy: ReportAccuracy,
    /// Number of round-robin choices so far.
    pub(super) choices_made: usize,
}

impl ServicePeers {
    pub(super) fn configure(&mut self, cfg: Arc<ServiceConfig>) {
        self.budget.set_rate(cfg.cross_region_bytes);
        self.cfg = Some(cfg);
    }
}
