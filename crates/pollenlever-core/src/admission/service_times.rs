use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::config::Importance;

/// Weight of a new sample.
const WEIGHT: f64 = 0.05;
/// Time without a sample after which an estimate begins to shrink, so that an estimate above
/// every deadline cannot keep all requests out for good.
const TRUSTED: Duration = Duration::from_millis(500);
/// Time in which an estimate without samples shrinks by a factor of e.
const SHRINK: Duration = Duration::from_millis(500);

/// Learned service times, by importance and depth.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    all: Option<f64>,
    by_class: BTreeMap<(Importance, u8), Estimate>,
}

#[derive(Debug)]
struct Estimate {
    mean: f64,
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
        *all += WEIGHT * (sample - *all);
        let estimate = self.by_class.entry(class).or_insert(Estimate { mean: sample, at: now });
        estimate.mean += WEIGHT * (sample - estimate.mean);
        estimate.at = now;
    }

    /// Mean over all classes; zero until the first sample.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.all.unwrap_or_default())
    }

    /// Mean of one class; zero until its first sample.
    pub(super) fn of(&self, now: Timestamp, class: (Importance, u8)) -> Duration {
        let Some(Estimate { mean, at }) = self.by_class.get(&class) else { return Duration::ZERO };
        let age = now.saturating_sub(*at).saturating_sub(TRUSTED);
        Duration::from_secs_f64(mean * (-age.as_secs_f64() / SHRINK.as_secs_f64()).exp())
    }
}
