use std::time::Duration;

use super::decayed::Decayed;
use crate::Timestamp;
use crate::config::Importance;

/// Time over which requests are counted.
const MEMORY: Duration = Duration::from_millis(300);
/// Share of shed requests at which an importance counts as shed.
const SHED_SHARE: f64 = 0.95;
/// Requests that must have been counted before an importance counts as shed.
const MIN_COUNT: f64 = 5.0;
/// Time without a standing queue after which the level falls by one.
const CALM: Duration = Duration::from_millis(200);
/// Shortest time between two changes of the level.
const HOLD: Duration = Duration::from_millis(100);

/// The importance below which a gate sheds nearly everything.
#[derive(Debug, Default)]
pub(super) struct ShedLevel {
    offered: [Decayed; Importance::ALL.len()],
    shed: [Decayed; Importance::ALL.len()],
    level: usize,
    changed: Timestamp,
    last_full: Timestamp,
}

impl ShedLevel {
    pub(super) fn offered(&mut self, now: Timestamp, importance: Importance) {
        self.offered[importance as usize].add(now, MEMORY, 1.0);
    }

    pub(super) fn shed(&mut self, now: Timestamp, importance: Importance) {
        self.shed[importance as usize].add(now, MEMORY, 1.0);
    }

    /// Moves the level by at most one; `full` says whether requests wait for a slot.
    pub(super) fn update(&mut self, now: Timestamp, full: bool) {
        if full {
            self.last_full = now;
        }
        if now.saturating_sub(self.changed) < HOLD {
            return;
        }
        let top = Importance::ALL.len() - 1;
        if full && self.level < top && self.is_shed(now, self.level) {
            self.level += 1;
            self.changed = now;
        } else if self.level > 0 && now.saturating_sub(self.last_full) >= CALM {
            self.level -= 1;
            self.changed = now;
        }
    }

    pub(super) fn get(&self) -> Importance {
        Importance::ALL[self.level]
    }

    fn is_shed(&self, now: Timestamp, index: usize) -> bool {
        let offered = self.offered[index].get(now, MEMORY);
        offered >= MIN_COUNT && self.shed[index].get(now, MEMORY) >= SHED_SHARE * offered
    }
}
