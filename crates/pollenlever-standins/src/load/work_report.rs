use std::collections::{BTreeMap, BTreeSet};

use super::LoadReport;
use crate::cluster::{Cluster, ClusterError};
use crate::target::RunRecord;

/// Work of the targets, from their run logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkReport {
    /// Runs that began.
    pub runs: u64,
    /// Runs that a good request needed: one for each service.
    pub useful: u64,
    /// Runs that began at the deepest service.
    pub deepest_runs: u64,
    /// Requests of which a run began at the deepest service.
    pub deepest_requests: u64,
}

impl WorkReport {
    /// Reads the run logs of all targets.
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
            let begun = records.into_iter().filter(|it| it.phase == "start");
            starts.entry(service.to_owned()).or_default().extend(begun);
        }
        let deepest = cluster.configs().last().map(|it| it.service.to_string());
        let deepest = deepest.and_then(|it| starts.get(&it)).map_or(&[][..], Vec::as_slice);
        let requests: BTreeSet<&str> =
            deepest.iter().filter_map(|it| it.path.split_once('?')).map(|(_, id)| id).collect();
        let good = report.records.iter().filter(|it| it.good).count();
        Ok(WorkReport {
            runs: starts.values().map(|it| it.len() as u64).sum(),
            useful: (good * depth) as u64,
            deepest_runs: deepest.len() as u64,
            deepest_requests: requests.len() as u64,
        })
    }

    /// Share of runs that were not needed by a good request; all services take the same time, so
    /// this is the share of their own work in slot-seconds.
    pub fn wasted_share(&self) -> f64 {
        if self.runs == 0 { 0.0 } else { 1.0 - self.useful as f64 / self.runs as f64 }
    }

    /// Runs at the deepest service for each request that reached it.
    pub fn deepest_factor(&self) -> f64 {
        self.deepest_runs as f64 / self.deepest_requests.max(1) as f64
    }
}
