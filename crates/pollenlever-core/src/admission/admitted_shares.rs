use std::time::Duration;

use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::config::Importance;

/// Decay time of the work that is offered, and averaging time of the shares in force.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two changes of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a share moves by a factor of e towards the one that fits.
const ADJUST_TIME: Duration = Duration::from_millis(500);
/// Time in which the waiting requests are to be worked off, beside those that arrive.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Smallest share, so that some chains show when the overload ends.
const MIN_SHARE: f64 = 0.02;
/// Share from which all chains are admitted once they fit.
const FULL_SHARE: f64 = 0.95;

/// Share of the chains of each importance that a target can serve.
///
/// The nodes that new chains enter admit those with the highest hashes, up to the share. The requests that
/// arrive therefore stand for all chains in proportion to the share in force, which gives the work of all
/// chains. The more important chains get the slots that they need first.
#[derive(Debug)]
pub(super) struct AdmittedShares {
    classes: [ImportanceShare; Importance::ALL.len()],
    updated: Timestamp,
}

#[derive(Debug)]
struct ImportanceShare {
    /// Work of the requests that arrive, in seconds of a slot.
    offered: DecayingSum,
    share: f64,
    /// Mean of the share over the time in which `offered` arrived.
    mean_share: f64,
}

impl AdmittedShares {
    /// Records a request that is offered, with the time that it is expected to hold a slot.
    pub(super) fn record_offered(
        &mut self,
        now: Timestamp,
        importance: Importance,
        service_time: Duration,
    ) {
        let offered = &mut self.classes[importance as usize].offered;
        offered.add(now, DECAY_TIME, service_time.as_secs_f64());
    }

    /// Adjusts the shares to a target that runs `slots` requests at once and has `backlog` of waiting
    /// work, in seconds of a slot. Without any, there is room.
    pub(super) fn update(&mut self, now: Timestamp, slots: u32, backlog: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.updated = now;
        let mut room = f64::from(slots) - backlog.as_secs_f64() / DRAIN_TIME.as_secs_f64();
        for class in self.classes.iter_mut().rev() {
            let needed = class.slots_without_share(now);
            let fitting = if needed <= 0.0 { 1.0 } else { (room / needed).clamp(0.0, 1.0) };
            room = (room - needed).max(0.0);
            class.adjust(elapsed, fitting.max(MIN_SHARE), backlog.is_zero());
        }
    }

    /// The share of an importance, from [`MIN_SHARE`] to 1.
    pub(super) fn get(&self, importance: Importance) -> f64 {
        self.classes[importance as usize].share
    }
}

impl Default for AdmittedShares {
    fn default() -> AdmittedShares {
        let class =
            || ImportanceShare { offered: DecayingSum::default(), share: 1.0, mean_share: 1.0 };
        AdmittedShares { classes: std::array::from_fn(|_| class()), updated: Timestamp::ZERO }
    }
}

impl ImportanceShare {
    /// Slots that the importance would need if all its chains were admitted.
    fn slots_without_share(&self, now: Timestamp) -> f64 {
        self.offered.get(now, DECAY_TIME) / DECAY_TIME.as_secs_f64() / self.mean_share
    }

    /// Moves the share towards `fitting`; it falls only while requests wait.
    fn adjust(&mut self, elapsed: Duration, fitting: f64, is_queue_empty: bool) {
        let weight = |time: Duration| 1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
        if fitting > self.share || !is_queue_empty {
            self.share += weight(ADJUST_TIME) * (fitting - self.share);
        }
        if fitting >= 1.0 && self.share >= FULL_SHARE {
            self.share = 1.0;
        }
        self.mean_share += weight(DECAY_TIME) * (self.share - self.mean_share);
    }
}
