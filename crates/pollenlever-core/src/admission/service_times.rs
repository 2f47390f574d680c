use std::collections::BTreeMap;
use std::time::Duration;

use super::class::Class;
use crate::Timestamp;

/// Smallest weight of a new sample.
const MIN_WEIGHT: f64 = 0.05;
/// Averaging time of the service times while samples are rare.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Number of mean deviations added to the mean to estimate the service time of a new chain.
const DEVIATION_MARGIN: f64 = 1.0;
/// Time without a sample after which an estimate begins to shrink. Otherwise an estimate above
/// every deadline would shed all requests forever.
const SHRINK_DELAY: Duration = Duration::from_millis(500);
/// Time in which an estimate without new samples shrinks by a factor of e.
const SHRINK_TIME: Duration = Duration::from_millis(500);

/// Estimated service times in seconds, overall and by class (importance and depth).
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    mean_s: Option<f64>,
    updated: Timestamp,
    by_class: BTreeMap<Class, Estimate>,
}

#[derive(Debug)]
struct Estimate {
    mean_s: f64,
    mean_deviation_s: f64,
    updated: Timestamp,
}

impl ServiceTimes {
    pub(super) fn record_run(&mut self, now: Timestamp, class: Class, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        let mean_s = self.mean_s.get_or_insert(sample);
        *mean_s += weight(now, self.updated) * (sample - *mean_s);
        self.updated = now;
        let first = Estimate { mean_s: sample, mean_deviation_s: 0.0, updated: now };
        let estimate = self.by_class.entry(class).or_insert(first);
        estimate.add(weight(now, estimate.updated), sample);
        estimate.updated = now;
    }

    /// Mean service time over all classes; zero until the first sample.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.unwrap_or_default())
    }

    /// Mean service time of a class; zero until its first sample.
    pub(super) fn mean_of(&self, class: Class) -> Duration {
        let mean_s = self.by_class.get(&class).map_or(0.0, |it| it.mean_s);
        Duration::from_secs_f64(mean_s)
    }

    /// Expected service time of a class; zero until its first sample. For a new chain it includes a
    /// margin above the mean. For a deeper call it is the mean, since shedding the call wastes the
    /// work already done for its chain.
    pub(super) fn expected(&self, now: Timestamp, class: Class) -> Duration {
        let Some(estimate) = self.by_class.get(&class) else { return Duration::ZERO };
        let margin =
            if class.is_new_chain() { DEVIATION_MARGIN * estimate.mean_deviation_s } else { 0.0 };
        let age = now.saturating_sub(estimate.updated).saturating_sub(SHRINK_DELAY);
        let shrink_factor = (-age.as_secs_f64() / SHRINK_TIME.as_secs_f64()).exp();
        Duration::from_secs_f64((estimate.mean_s + margin) * shrink_factor)
    }
}

impl Estimate {
    fn add(&mut self, weight: f64, sample: f64) {
        let difference = sample - self.mean_s;
        self.mean_s += weight * difference;
        // A sample with weight 1 replaces the mean, so the deviation becomes 0.
        self.mean_deviation_s =
            (1.0 - weight) * (self.mean_deviation_s + weight * difference.abs());
    }
}

/// Weight of a sample taken now if the previous one was at `last`; rare samples weigh more.
fn weight(now: Timestamp, last: Timestamp) -> f64 {
    let gap = now.saturating_sub(last).as_secs_f64();
    (1.0 - (-gap / AVERAGING_TIME.as_secs_f64()).exp()).max(MIN_WEIGHT)
}
