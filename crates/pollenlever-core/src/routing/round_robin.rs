use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{NoRoute, RouteRequest, Routing};
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::ServiceConfig;
use crate::id::{NodeId, ServiceName};
use crate::membership::{Member, TargetState};
use crate::message::GateLoad;

/// Retry delay sent to a caller for which no target was found.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// Chooses each target in turn, regardless of its load and distance.
///
/// ```
/// use pollenlever_core::routing::RoundRobin;
/// let routing = RoundRobin::default();
/// ```
#[derive(Debug, Default)]
pub struct RoundRobin {
    nodes: HashMap<ServiceName, BTreeSet<NodeId>>,
    choices_made: usize,
}

impl Routing for RoundRobin {
    fn configure(&mut self, _cfg: Arc<ServiceConfig>) {}

    fn update_members(&mut self, _now: Timestamp, members: &[Member]) {
        for member in members {
            let Some(service) = &member.service else { continue };
            let nodes = self.nodes.entry(service.clone()).or_default();
            match member.state {
                TargetState::Ready | TargetState::Cold => nodes.insert(member.node),
                TargetState::Absent | TargetState::Leaving => nodes.remove(&member.node),
            };
        }
    }

    fn remove_members(&mut self, _now: Timestamp, gone: &[NodeId]) {
        for nodes in self.nodes.values_mut() {
            nodes.retain(|it| !gone.contains(it));
        }
    }

    fn choose(&mut self, _now: Timestamp, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute> {
        let nodes = self.nodes.get(req.service).filter(|it| !it.is_empty());
        let none = NoRoute { error: ErrorKind::NoTarget, retry_after: NO_TARGET_RETRY };
        let nodes = nodes.ok_or(none)?;
        self.choices_made = self.choices_made.wrapping_add(1);
        nodes.iter().nth(self.choices_made % nodes.len()).copied().ok_or(none)
    }

    fn record_sent(&mut self, _now: Timestamp, _node: NodeId, _bytes: u64) {}

    fn record_reply(
        &mut self,
        _now: Timestamp,
        _node: NodeId,
        _latency: Duration,
        _load: &GateLoad,
        _bytes: u64,
    ) {
    }

    fn record_failure(&mut self, _now: Timestamp, _node: NodeId) {}

    fn record_cancelled(&mut self, _now: Timestamp, _node: NodeId) {}
}
