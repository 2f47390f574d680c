use std::collections::BTreeMap;
use std::time::Duration;

use pollenlever_core::config::Importance;

use super::Record;

/// Time by which [`LoadReport::recovery_time`] moves its window.
const RECOVERY_STEP: Duration = Duration::from_millis(250);
/// Length of the window in steps; the share of good requests is taken over the whole window.
const RECOVERY_WINDOW_STEPS: u32 = 4;
/// Fraction of the earlier share of good requests that counts as recovered.
const RECOVERY_SHARE: f64 = 0.95;

/// Records of a load, in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Result of each request.
    pub records: Vec<Record>,
}

impl LoadReport {
    /// Records of requests that arrived from `from` until `to`.
    pub fn arrived_between(&self, from: Duration, to: Duration) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |it| (from..to).contains(&it.arrival.at))
    }

    /// Goodput: good requests per second among those that arrived from `from` until `to`.
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let good = self.arrived_between(from, to).filter(|it| it.good).count();
        good as f64 / (to - from).as_secs_f64()
    }

    /// Share of good requests (0 to 1) among those that arrived from `from` until `to`; 1 if there
    /// are none.
    pub fn good_share(&self, from: Duration, to: Duration) -> f64 {
        share(self.arrived_between(from, to))
    }

    /// Like [`LoadReport::good_share`], for requests of one importance.
    pub fn good_share_of_importance(
        &self,
        importance: Importance,
        from: Duration,
        to: Duration,
    ) -> f64 {
        share(self.arrived_between(from, to).filter(|it| it.arrival.importance == importance))
    }

    /// Number of good requests by workspace among those that arrived from `from` until `to`.
    pub fn good_by_workspace(&self, from: Duration, to: Duration) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for record in self.arrived_between(from, to).filter(|it| it.good) {
            *counts.entry(record.arrival.workspace.as_str()).or_default() += 1;
        }
        counts
    }

    /// Number of good requests by second of arrival.
    pub fn good_by_second(&self) -> Vec<u32> {
        let mut counts = Vec::new();
        for record in &self.records {
            let second = record.arrival.at.as_secs() as usize;
            counts.resize(counts.len().max(second + 1), 0);
            counts[second] += u32::from(record.good);
        }
        counts
    }

    /// Number of answers by reason to requests that arrived from `from` until `to`.
    pub fn answers_by_reason(&self, from: Duration, to: Duration) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for (reason, count) in self.arrived_between(from, to).flat_map(|it| &it.answers_by_reason) {
            *counts.entry(reason.as_str()).or_default() += count;
        }
        counts
    }

    /// Time from `since` until the share of good requests over one second is back at 95% of
    /// `share_before`; `None` if it is not back by `end`.
    pub fn recovery_time(
        &self,
        since: Duration,
        end: Duration,
        share_before: f64,
    ) -> Option<Duration> {
        let mut from = since;
        while from + RECOVERY_STEP * RECOVERY_WINDOW_STEPS <= end {
            if self.good_share(from, from + RECOVERY_STEP * RECOVERY_WINDOW_STEPS)
                >= RECOVERY_SHARE * share_before
            {
                return Some(from - since);
            }
            from += RECOVERY_STEP;
        }
        None
    }
}

/// Share of good records (0 to 1); 1 if there are none.
fn share<'a>(records: impl Iterator<Item = &'a Record>) -> f64 {
    let (mut good, mut all) = (0, 0);
    for record in records {
        good += u32::from(record.good);
        all += 1;
    }
    if all == 0 { 1.0 } else { f64::from(good) / f64::from(all) }
}
