use std::collections::{BTreeMap, BTreeSet};

use super::LoadReport;
use crate::cluster::{Cluster, ClusterError};
use crate::target::RunRecord;

/// Work done by the targets, counted from their run logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkReport {
    /// Runs that started, at all services.
    pub runs: u64,
    /// Runs needed for the good requests: one per request and service.
    pub needed_runs: u64,
    /// Runs that started at the last service of the call chain.
    pub deepest_runs: u64,
    /// Distinct requests with a run at the last service of the call chain.
    pub deepest_requests: u64,
}

impl WorkReport {
    /// Reads the run logs of all targets; `depth` is the number of services in the call chain.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if a log cannot be read.
    pub fn read(
        cluster: &Cluster,
        report: &LoadReport,
        depth: usize,
    ) -> Result<WorkReport, ClusterError> {
        let mut starts: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
        for (machine, records) in cluster.run_records()? {
            let service = machine.rsplit_once('-').map_or(machine.as_str(), |(name, _)| name);
            let run_starts = records.into_iter().filter(|it| it.phase == "start");
            starts.entry(service.to_owned()).or_default().extend(run_starts);
        }
        let deepest = cluster.configs().last().map(|it| it.service.to_string());
        let deepest = deepest.and_then(|it| starts.get(&it)).map_or(&[][..], Vec::as_slice);
        let requests: BTreeSet<&str> =
            deepest.iter().filter_map(|it| it.path.split_once('?')).map(|(_, id)| id).collect();
        let good = report.records.iter().filter(|it| it.good).count();
        Ok(WorkReport {
            runs: starts.values().map(|it| it.len() as u64).sum(),
            needed_runs: (good * depth) as u64,
            deepest_runs: deepest.len() as u64,
            deepest_requests: requests.len() as u64,
        })
    }

    /// Share of runs (0 to 1) that were not needed for a good request. All services have the same
    /// service time, so this is also the share of slot-seconds, not counting downstream calls.
    pub fn wasted_share(&self) -> f64 {
        if self.runs == 0 { 0.0 } else { 1.0 - self.needed_runs as f64 / self.runs as f64 }
    }

    /// Mean number of runs at the last service per request that reached it.
    pub fn runs_per_deepest_request(&self) -> f64 {
        self.deepest_runs as f64 / self.deepest_requests.max(1) as f64
    }
}
