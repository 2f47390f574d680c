use std::time::Duration;

use crate::Timestamp;
use crate::admission::RunOutcome;
use crate::mesh::RequestClass;

/// A run of the target that has ended, as [`StartPace`](super::StartPace) sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Class of the request; only times of the same class are compared.
    pub class: RequestClass,
    /// Start of the run.
    pub started: Timestamp,
    /// Time of the run without the time in which it waited for its own calls.
    pub own_time: Duration,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Number of concurrent runs when it started, including itself.
    pub concurrency: u32,
    /// Number of runs that go on after its end.
    pub remaining: u32,
    /// How long work takes on the target's VM, in percent of the usual time, as the target reports;
    /// `None` without a report.
    pub slowdown_percent: Option<u32>,
}

impl EndedRun {
    /// Mean number of concurrent runs over the run, as far as its start and end tell.
    pub(super) fn mean_concurrency(&self) -> f64 {
        f64::from(self.concurrency + self.remaining + 1) / 2.0
    }
}
