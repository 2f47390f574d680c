use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::WorkspaceName;
use pollenlever_core::quota::{HomeShard, TokenPermit};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::QuotaRefusal;

/// Most workspaces with labels of their own; the rest share one.
const MAX_WORKSPACE_LABELS: usize = 128;
/// Label of the other workspaces.
const OTHER: &str = "other";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    workspace: String,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShardLabels {
    shard: u32,
}

/// Counters of one workspace, or of all those without labels of their own.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkspaceCounters {
    /// Requests that got a token.
    pub(super) granted: Counter,
    /// Requests refused because the workspace is over its quota.
    refused: Counter,
    /// Requests refused because the quota could not be determined.
    unavailable: Counter,
}

impl WorkspaceCounters {
    /// Counts a request by whether it got a token.
    pub(super) fn record(&self, result: &Result<TokenPermit, QuotaRefusal>) {
        match result {
            Ok(_) => self.granted.inc(),
            Err(it) if it.error == ErrorKind::WorkspaceLimit => self.refused.inc(),
            Err(_) => self.unavailable.inc(),
        };
    }
}

/// Metrics of quotas; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuotaMetrics {
    requests: Family<RequestLabels, Counter>,
    no_replies: Counter,
    own_units: Gauge,
    shard_units: Family<ShardLabels, Gauge>,
    shard_workspaces: Family<ShardLabels, Gauge>,
    labelled: Arc<Mutex<HashMap<WorkspaceName, WorkspaceCounters>>>,
}

impl QuotaMetrics {
    /// Registers all metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let it = self.clone();
        let help = "Requests of workspaces with a quota, by whether they got a token";
        registry.register("quota_requests", help, it.requests);
        let help = "Messages with token requests that got no reply in time";
        registry.register("quota_no_replies", help, it.no_replies);
        registry.register(
            "quota_own_units",
            "Units of all quotas that this node holds",
            it.own_units,
        );
        let help = "Units delegated to this node as the home of a shard";
        registry.register("quota_shard_units", help, it.shard_units);
        let help = "Workspaces with a token bucket at this node as the home of a shard";
        registry.register("quota_shard_workspaces", help, it.shard_workspaces);
    }

    /// Counters of a workspace. The first workspaces get labels of their own.
    pub(super) fn counters(&self, workspace: &WorkspaceName) -> WorkspaceCounters {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(counters) = labelled.get(workspace) {
            return counters.clone();
        }
        if labelled.len() >= MAX_WORKSPACE_LABELS {
            return self.counters_with_label(OTHER);
        }
        let counters = self.counters_with_label(workspace);
        labelled.insert(workspace.clone(), counters.clone());
        counters
    }

    fn counters_with_label(&self, workspace: &str) -> WorkspaceCounters {
        let counter = |result| {
            let labels = RequestLabels { workspace: workspace.to_owned(), result };
            self.requests.get_or_create(&labels).clone()
        };
        WorkspaceCounters {
            granted: counter("granted"),
            refused: counter("over-quota"),
            unavailable: counter("unavailable"),
        }
    }

    /// Records that a home did not reply to token requests.
    pub(super) fn record_no_reply(&self) {
        self.no_replies.inc();
    }

    /// Sets the gauges to the current state.
    pub(super) fn update(&self, own_units: u32, shards: &[HomeShard]) {
        self.own_units.set(i64::from(own_units));
        self.shard_units.clear();
        self.shard_workspaces.clear();
        for it in shards {
            let labels = ShardLabels { shard: it.shard };
            self.shard_units.get_or_create(&labels).set(i64::from(it.units));
            self.shard_workspaces.get_or_create(&labels).set(it.workspaces as i64);
        }
    }
}
