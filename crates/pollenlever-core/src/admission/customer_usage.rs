use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::config::Importance;
use crate::id::CustomerId;

/// Decayed count of runs below which a customer is negligible.
const NEGLIGIBLE_RUNS: f64 = 0.01;
/// Number of entries from which negligible customers are removed, to bound memory.
const MAX_CUSTOMERS: usize = 1024;

/// Exponentially decaying counts of started runs, by importance and customer.
#[derive(Debug)]
pub(super) struct CustomerUsage {
    decay_time: Duration,
    runs: BTreeMap<(Importance, CustomerId), DecayingSum>,
}

impl CustomerUsage {
    pub(super) fn new(decay_time: Duration) -> CustomerUsage {
        CustomerUsage { decay_time, runs: BTreeMap::new() }
    }

    pub(super) fn record_run(
        &mut self,
        now: Timestamp,
        importance: Importance,
        customer: &CustomerId,
    ) {
        let decay_time = self.decay_time;
        if self.runs.len() >= MAX_CUSTOMERS {
            self.runs.retain(|_, it| it.get(now, decay_time) > NEGLIGIBLE_RUNS);
        }
        self.runs.entry((importance, customer.clone())).or_default().add(now, decay_time, 1.0);
    }

    pub(super) fn get(&self, now: Timestamp, importance: Importance, customer: &CustomerId) -> f64 {
        let found = self.runs.get(&(importance, customer.clone()));
        found.map_or(0.0, |it| it.get(now, self.decay_time))
    }
}
