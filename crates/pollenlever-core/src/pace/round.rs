use std::collections::BTreeMap;
use std::time::Duration;

use super::EndedRun;
use super::class_times::{ClassTimes, weight};
use crate::Timestamp;
use crate::admission::RunOutcome;
use crate::mesh::RequestClass;

/// Shortest round. Shorter ones would compare moments rather than levels of concurrency.
const MIN_DURATION: Duration = Duration::from_millis(50);
/// Duration after which a round ends with any number of runs, so that few responses do not freeze the
/// limit.
const MAX_DURATION: Duration = Duration::from_secs(1);
/// Number of runs that make a round, if the limit is not lower.
const FULL_ROUND: usize = 16;
/// Share of these runs that end a round. All rounds leave out the same share of long runs, so their
/// means can be compared; if the first runs to end made a round, it would consist of short ones.
const ENDED_SHARE: f64 = 0.75;
/// Largest number of runs that a round keeps, which bounds its memory.
const MAX_SAMPLES: usize = 256;
/// Number of runs from which the slowest one is left out of a mean.
const MIN_TRIMMED: usize = 4;
/// Smallest standard deviation that is assumed of a few ratios of own times.
const MIN_DEVIATION: f64 = 0.3;
/// Number of rejections that end a round, if the limit is not lower.
const MIN_REJECTIONS: usize = 3;
/// Share of rejected runs below which rejections count as random.
const MIN_REJECTED_SHARE: f64 = 0.2;

/// The first runs that started since the limit was set last.
#[derive(Debug, Clone, Default)]
pub(super) struct Round {
    started: Timestamp,
    starts: usize,
    /// Start of the last run of the round; `None` until the round has all its runs.
    last_start: Option<Timestamp>,
    samples: Vec<EndedRun>,
    rejections: usize,
}

/// What a round of responses has shown, for log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoundSummary {
    /// Number of runs that the target answered.
    pub runs: usize,
    /// Number of runs that the target rejected.
    pub rejections: usize,
    /// Mean own time as a multiple of that of the same classes at lower concurrency; 1 without any.
    pub time_ratio: f64,
    /// Standard error of `time_ratio`, not below that of usual times; infinite if it is unknown.
    pub error: f64,
    /// Mean concurrency over the runs.
    pub concurrency: f64,
    /// Highest concurrency at the start of a run.
    pub peak: u32,
    /// Highest slowdown that the target reported, in percent; 100 without reports.
    pub slowdown_percent: u32,
}

impl Round {
    pub(super) fn new(now: Timestamp) -> Round {
        Round { started: now, ..Round::default() }
    }

    pub(super) fn record_start(&mut self, now: Timestamp, limit: f64) {
        self.starts += 1;
        if self.starts >= full_round(limit) {
            self.last_start.get_or_insert(now);
        }
    }

    /// Records the end of a run, unless it is of another round. A failed run counts if it took longer than
    /// usual, as one that timed out.
    pub(super) fn record_run(&mut self, run: &EndedRun, times: &ClassTimes) {
        if run.started < self.started {
            return;
        }
        let is_later = self.last_start.is_some_and(|it| run.started > it);
        let is_slow = || times.ratio(run.class, run.own_time).is_some_and(|it| it > 1.0);
        match run.outcome {
            RunOutcome::ShedByTarget => self.rejections += 1,
            RunOutcome::Cancelled => {}
            RunOutcome::Failed if !is_slow() => {}
            _ if is_later => {}
            RunOutcome::Failed | RunOutcome::Answered => {
                if self.samples.len() < MAX_SAMPLES {
                    self.samples.push(*run);
                }
            }
        }
    }

    /// Whether the target rejects more requests than at random.
    pub(super) fn is_rejected(&self, limit: f64) -> bool {
        let runs = (self.samples.len() + self.rejections) as f64;
        self.rejections >= MIN_REJECTIONS.min(limit as usize).max(1)
            && self.rejections as f64 >= MIN_REJECTED_SHARE * runs
    }

    pub(super) fn is_complete(&self, now: Timestamp, limit: f64) -> bool {
        let (runs, elapsed) = (self.samples.len(), self.elapsed(now));
        let is_full = runs as f64 >= ENDED_SHARE * full_round(limit) as f64;
        (is_full && elapsed >= MIN_DURATION) || (runs > 0 && elapsed >= MAX_DURATION)
    }

    pub(super) fn summary(&self, times: &ClassTimes) -> RoundSummary {
        let ratios = self.samples.iter().filter_map(|it| times.ratio(it.class, it.own_time));
        let (time_ratio, error) = trimmed_mean(ratios.collect()).unwrap_or((1.0, f64::INFINITY));
        let error = error.hypot(self.reference_error(times));
        let slowdowns = self.samples.iter().filter_map(|it| it.slowdown_percent);
        RoundSummary {
            runs: self.samples.len(),
            rejections: self.rejections,
            time_ratio,
            error,
            concurrency: self.concurrency(),
            peak: self.samples.iter().map(|it| it.concurrency).max().unwrap_or_default(),
            slowdown_percent: slowdowns.max().unwrap_or(100),
        }
    }

    /// Standard error of the mean reference; 0 without any.
    fn reference_error(&self, times: &ClassTimes) -> f64 {
        let runs = self.samples.iter().map(|it| times.runs(it.class));
        let runs: Vec<f64> = runs.filter(|it| *it > 0.0).collect();
        let mean = runs.iter().sum::<f64>() / runs.len().max(1) as f64;
        if runs.is_empty() { 0.0 } else { MIN_DEVIATION / mean.sqrt() }
    }

    /// Adapts the references to the times of this round; `rise_time` is the time constant with which
    /// they rise.
    pub(super) fn add_to(&self, now: Timestamp, times: &mut ClassTimes, rise_time: Duration) {
        let elapsed = self.elapsed(now);
        let rise_weight = weight(elapsed, rise_time);
        times.record_concurrency(self.concurrency(), rise_weight);
        let mut by_class: BTreeMap<RequestClass, Vec<f64>> = BTreeMap::new();
        for run in &self.samples {
            by_class.entry(run.class).or_default().push(run.own_time.as_secs_f64());
        }
        for (class, own_times) in by_class {
            let runs = own_times.len();
            if let Some((mean_s, _)) = trimmed_mean(own_times) {
                times.record_mean(class, mean_s, runs, elapsed, rise_weight);
            }
        }
    }

    fn concurrency(&self) -> f64 {
        let total: f64 = self.samples.iter().map(EndedRun::mean_concurrency).sum();
        total / self.samples.len().max(1) as f64
    }

    fn elapsed(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.started)
    }
}

/// Number of runs that make a round.
fn full_round(limit: f64) -> usize {
    FULL_ROUND.min(limit as usize).max(1)
}

/// Mean and its standard error (see [`MIN_DEVIATION`]) without the largest value, so that one long run does not decide;
/// `None` without values. The error of a single value is infinite.
fn trimmed_mean(mut values: Vec<f64>) -> Option<(f64, f64)> {
    values.sort_by(f64::total_cmp);
    if values.len() >= MIN_TRIMMED {
        values.pop();
    }
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / (count - 1.0);
    match values.len() {
        0 => None,
        1 => Some((mean, f64::INFINITY)),
        _ => Some((mean, (variance / count).sqrt().max(MIN_DEVIATION / count.sqrt()))),
    }
}
