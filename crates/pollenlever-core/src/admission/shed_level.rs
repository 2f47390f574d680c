use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::config::Importance;

/// Decay time of the counts of offered and shed requests.
const DECAY_TIME: Duration = Duration::from_millis(300);
/// Ratio of shed requests from which an importance counts as shed.
const SHED_RATIO: f64 = 0.95;
/// Smallest count of offered requests at which an importance can count as shed.
const MIN_COUNT: f64 = 5.0;
/// Time without waiting requests after which the level falls by one.
const DECREASE_DELAY: Duration = Duration::from_millis(200);
/// Shortest time between two changes of the level.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Tracks the importance below which a gate sheds nearly all requests. Entries use it to refuse
/// such requests early.
#[derive(Debug, Default)]
pub(super) struct ShedLevel {
    offered_counts: [DecayingSum; Importance::ALL.len()],
    shed_counts: [DecayingSum; Importance::ALL.len()],
    level: usize,
    last_changed: Timestamp,
    last_queueing: Timestamp,
}

impl ShedLevel {
    pub(super) fn record_offered(&mut self, now: Timestamp, importance: Importance) {
        self.offered_counts[importance as usize].add(now, DECAY_TIME, 1.0);
    }

    pub(super) fn record_shed(&mut self, now: Timestamp, importance: Importance) {
        self.shed_counts[importance as usize].add(now, DECAY_TIME, 1.0);
    }

    /// Changes the level by at most one. `is_queueing` is whether requests wait for a slot.
    pub(super) fn update(&mut self, now: Timestamp, is_queueing: bool) {
        if is_queueing {
            self.last_queueing = now;
        }
        if now.saturating_sub(self.last_changed) < MIN_CHANGE_INTERVAL {
            return;
        }
        let top = Importance::ALL.len() - 1;
        if is_queueing && self.level < top && self.is_shed(now, self.level) {
            self.level += 1;
            self.last_changed = now;
        } else if self.level > 0 && now.saturating_sub(self.last_queueing) >= DECREASE_DELAY {
            self.level -= 1;
            self.last_changed = now;
        }
    }

    pub(super) fn get(&self) -> Importance {
        Importance::ALL[self.level]
    }

    fn is_shed(&self, now: Timestamp, index: usize) -> bool {
        let offered = self.offered_counts[index].get(now, DECAY_TIME);
        offered >= MIN_COUNT && self.shed_counts[index].get(now, DECAY_TIME) >= SHED_RATIO * offered
    }
}
