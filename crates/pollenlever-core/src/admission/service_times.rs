use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::config::Importance;

/// Smallest weight of a new sample.
const MIN_WEIGHT: f64 = 0.05;
/// Time over which samples are averaged where they are rare.
const MEMORY: Duration = Duration::from_secs(1);
/// Mean deviations above the mean in which a new chain must be able to finish.
const MARGIN: f64 = 1.0;
/// Time without a sample after which an estimate begins to shrink, so that an estimate above
/// every deadline cannot keep all requests out for good.
const TRUSTED: Duration = Duration::from_millis(500);
/// Time in which an estimate without samples shrinks by a factor of e.
const SHRINK: Duration = Duration::from_millis(500);

/// Learned service times, by importance and depth.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    all: Option<f64>,
    at: Timestamp,
    by_class: BTreeMap<(Importance, u8), Estimate>,
}

#[derive(Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
    at: Timestamp,
}

impl ServiceTimes {
    pub(super) fn sample(
        &mut self,
        now: Timestamp,
        class: (Importance, u8),
        service_time: Duration,
    ) {
        let sample = service_time.as_secs_f64();
        let all = self.all.get_or_insert(sample);
        *all += weight(now, self.at) * (sample - *all);
        self.at = now;
        let first = Estimate { mean: sample, deviation: 0.0, at: now };
        let estimate = self.by_class.entry(class).or_insert(first);
        estimate.add(weight(now, estimate.at), sample);
        estimate.at = now;
    }

    /// Mean over all classes; zero until the first sample.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.all.unwrap_or_default())
    }

    /// Time that a run of one class needs; zero until its first sample. For a new chain this is
    /// well above the mean, for a deeper call it is the mean, since refusing it wastes work.
    pub(super) fn needed(&self, now: Timestamp, class: (Importance, u8)) -> Duration {
        let Some(estimate) = self.by_class.get(&class) else { return Duration::ZERO };
        let margin = if class.1 == 0 { MARGIN * estimate.deviation } else { 0.0 };
        let age = now.saturating_sub(estimate.at).saturating_sub(TRUSTED);
        let trust = (-age.as_secs_f64() / SHRINK.as_secs_f64()).exp();
        Duration::from_secs_f64((estimate.mean + margin) * trust)
    }
}

impl Estimate {
    fn add(&mut self, weight: f64, sample: f64) {
        let distance = sample - self.mean;
        self.mean += weight * distance;
        // A sample that moves the mean to itself leaves no deviation behind.
        self.deviation = (1.0 - weight) * (self.deviation + weight * distance.abs());
    }
}

/// Weight of a sample after one at `last`; rare samples weigh more.
fn weight(now: Timestamp, last: Timestamp) -> f64 {
    let gap = now.saturating_sub(last).as_secs_f64();
    (1.0 - (-gap / MEMORY.as_secs_f64()).exp()).max(MIN_WEIGHT)
}
