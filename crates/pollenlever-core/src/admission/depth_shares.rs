use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::config::Importance;

/// Decay time of the counts of offered and started requests.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Compares how many of the new chains and of the deeper calls of an importance get to run.
///
/// Deeper calls go first, since refusing them wastes work. A service that is called by many chains
/// and also takes requests of its own would then refuse all of the latter while it is overloaded.
/// So among requests of one importance, new chains go first while a smaller share of them runs than
/// of the deeper calls.
#[derive(Debug, Default)]
pub(super) struct DepthShares {
    by_importance: [ImportanceCounts; Importance::ALL.len()],
}

#[derive(Debug, Default)]
struct ImportanceCounts {
    new_chains: Counts,
    deeper_calls: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    offered: DecayingSum,
    started: DecayingSum,
}

impl DepthShares {
    /// Records a request that was offered.
    pub(super) fn record_offered(&mut self, now: Timestamp, importance: Importance, depth: u8) {
        self.counts(importance, depth).offered.add(now, DECAY_TIME, 1.0);
    }

    /// Records a request that started to run.
    pub(super) fn record_started(&mut self, now: Timestamp, importance: Importance, depth: u8) {
        self.counts(importance, depth).started.add(now, DECAY_TIME, 1.0);
    }

    /// Whether a smaller share of the new chains of an importance runs than of its deeper calls.
    pub(super) fn prefers_new_chains(&self, now: Timestamp, importance: Importance) -> bool {
        let counts = &self.by_importance[importance as usize];
        counts.new_chains.started_share(now) < counts.deeper_calls.started_share(now)
    }

    fn counts(&mut self, importance: Importance, depth: u8) -> &mut Counts {
        let counts = &mut self.by_importance[importance as usize];
        if depth == 0 { &mut counts.new_chains } else { &mut counts.deeper_calls }
    }
}

impl Counts {
    /// Share of the offered requests that started; 1 if none were offered.
    fn started_share(&self, now: Timestamp) -> f64 {
        let offered = self.offered.get(now, DECAY_TIME);
        if offered < f64::EPSILON { 1.0 } else { self.started.get(now, DECAY_TIME) / offered }
    }
}
