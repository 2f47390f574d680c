use std::collections::BTreeMap;
use std::time::Duration;

use crate::mesh::RequestClass;

/// Time constant with which a reference falls.
const FALL_TIME: Duration = Duration::from_millis(500);
/// Number of runs until which a reference is their plain mean, so that the first of them do not count
/// more.
const FIRST_RUNS: f64 = 4.0;
/// Shortest own time, in seconds, that is told from zero.
const MIN_TIME_S: f64 = 1e-4;

/// Own times of runs by class at a concurrency that the target can do, in seconds.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassTimes {
    references: BTreeMap<RequestClass, Reference>,
    /// Concurrency to which the references belong; `None` before the first round.
    concurrency: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Reference {
    mean_s: f64,
    runs: f64,
}

impl ClassTimes {
    /// Own time as a multiple of the reference of its class; `None` if there is no reference.
    pub(super) fn ratio(&self, class: RequestClass, own_time: Duration) -> Option<f64> {
        self.references.get(&class).map(|it| own_time.as_secs_f64().max(MIN_TIME_S) / it.mean_s)
    }

    /// Number of runs from which the reference of a class was learned; 0 if there is none.
    pub(super) fn runs(&self, class: RequestClass) -> f64 {
        self.references.get(&class).map_or(0.0, |it| it.runs)
    }

    /// Concurrency to which the references belong; `None` without any.
    pub(super) fn concurrency(&self) -> Option<f64> {
        self.concurrency
    }

    /// Moves the concurrency to which the references belong towards that of a round.
    pub(super) fn record_concurrency(&mut self, concurrency: f64, weight: f64) {
        let known = self.concurrency.get_or_insert(concurrency);
        *known += weight * (concurrency - *known);
    }

    /// Adapts the reference of a class to the mean own time of the `runs` of a round that took
    /// `elapsed`. If it rises, it does so with the given weight.
    pub(super) fn record_mean(
        &mut self,
        class: RequestClass,
        mean_s: f64,
        runs: usize,
        elapsed: Duration,
        rise_weight: f64,
    ) {
        let (mean_s, runs) = (mean_s.max(MIN_TIME_S), runs as f64);
        let reference = self.references.entry(class).or_insert(Reference { mean_s, runs: 0.0 });
        let is_lower = mean_s < reference.mean_s;
        let by_time = if is_lower { weight(elapsed, FALL_TIME) } else { rise_weight };
        let by_count = runs / (reference.runs + runs);
        let weight = if reference.runs < FIRST_RUNS { by_time.max(by_count) } else { by_time };
        reference.mean_s += weight * (mean_s - reference.mean_s);
        reference.runs += runs;
    }
}

/// Weight of a new value in a mean over about `time_constant`.
pub(super) fn weight(elapsed: Duration, time_constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
