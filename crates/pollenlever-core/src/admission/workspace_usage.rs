use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::config::Importance;
use crate::id::WorkspaceName;

/// Decayed count of runs below which a workspace is negligible.
const NEGLIGIBLE_RUNS: f64 = 0.01;
/// Number of entries from which negligible workspaces are removed, to bound memory.
const MAX_WORKSPACES: usize = 1024;

/// Exponentially decaying counts of started runs, by importance and workspace.
#[derive(Debug)]
pub(super) struct WorkspaceUsage {
    decay_time: Duration,
    runs: BTreeMap<(Importance, WorkspaceName), DecayingSum>,
}

impl WorkspaceUsage {
    pub(super) fn new(decay_time: Duration) -> WorkspaceUsage {
        WorkspaceUsage { decay_time, runs: BTreeMap::new() }
    }

    pub(super) fn record_run(
        &mut self,
        now: Timestamp,
        importance: Importance,
        workspace: &WorkspaceName,
    ) {
        let decay_time = self.decay_time;
        if self.runs.len() >= MAX_WORKSPACES {
            self.runs.retain(|_, it| it.get(now, decay_time) > NEGLIGIBLE_RUNS);
        }
        self.runs.entry((importance, workspace.clone())).or_default().add(now, decay_time, 1.0);
    }

    pub(super) fn get(
        &self,
        now: Timestamp,
        importance: Importance,
        workspace: &WorkspaceName,
    ) -> f64 {
        let found = self.runs.get(&(importance, workspace.clone()));
        found.map_or(0.0, |it| it.get(now, self.decay_time))
    }
}
