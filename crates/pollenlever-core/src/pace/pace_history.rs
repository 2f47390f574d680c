use std::time::Duration;

use super::StartPace;
use crate::Timestamp;

/// Part of the slots with which the first process of a target starts.
const START_SHARE: f64 = 0.25;
/// Largest part of the slots with which a process starts, whatever earlier ones have shown.
const MAX_START_SHARE: f64 = 0.5;
/// Part of the limit at a crash with which the next process starts.
const START_AFTER_CRASH: f64 = 0.25;
/// Part of the limit at a crash above which the next process is not raised at first.
const CEILING_AFTER_CRASH: f64 = 0.5;
/// Time for which that ceiling holds after the first crash.
const CEILING_TIME: Duration = Duration::from_millis(1250);
/// Factor by which it grows with each crash above it.
const CEILING_GROWTH: f64 = 2.5;
/// Longest such time.
const MAX_CEILING_TIME: Duration = Duration::from_secs(4);
/// Such a time after a crash below the ceiling: lower concurrency has not helped.
const SHORT_CEILING_TIME: Duration = Duration::from_millis(500);

/// What earlier processes of the target beside a node have shown about how one may start.
///
/// It belongs to the node's process and is empty after a restart of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceHistory {
    /// Concurrency that the last process reached before its responses became slower.
    reached: Option<f64>,
    /// Crash of the last process, if that had not run for long.
    crash: Option<Crash>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Crash {
    /// Limit at the crash, or the number of runs if that was higher.
    limit: f64,
    ceiling_time: Duration,
}

impl PaceHistory {
    /// Records the end of a process. `has_crashed` is whether it ended without notice.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::pace::{PaceHistory, StartPace};
    /// let mut history = PaceHistory::default();
    /// let first = StartPace::new(Duration::ZERO, 36, &history);
    /// assert_eq!(first.limit(), 9);
    /// history.record_end(Duration::from_millis(500), &first, true);
    /// let second = StartPace::new(Duration::from_secs(1), 36, &history);
    /// assert_eq!(second.limit(), 2);
    /// ```
    pub fn record_end(&mut self, now: Timestamp, pace: &StartPace, has_crashed: bool) {
        if has_crashed && pace.is_recent(now) {
            self.crash = Some(self.next_crash(pace));
        } else {
            self.crash = None;
            self.reached = Some(pace.reached());
        }
    }

    fn next_crash(&self, pace: &StartPace) -> Crash {
        let (limit, running) = (f64::from(pace.limit()), f64::from(pace.running()));
        let crash = Crash { limit: limit.max(running), ceiling_time: CEILING_TIME };
        let Some(last) = self.crash else { return crash };
        if limit > last.ceiling() {
            let ceiling_time = last.ceiling_time.mul_f64(CEILING_GROWTH).min(MAX_CEILING_TIME);
            Crash { ceiling_time, ..crash }
        } else if running > last.ceiling() {
            Crash { ceiling_time: last.ceiling_time, ..crash }
        } else if last.ceiling_time == SHORT_CEILING_TIME {
            // Lower concurrency has not helped twice, so it is not lowered further.
            last
        } else {
            Crash { ceiling_time: SHORT_CEILING_TIME, ..crash }
        }
    }

    /// Limit with which a process with this number of slots starts; at least 1.
    pub(super) fn start_limit(&self, slots: u32) -> f64 {
        let slots = f64::from(slots);
        let known = self.reached.unwrap_or(slots * START_SHARE);
        let start = self.crash.map_or(known, |it| it.limit * START_AFTER_CRASH);
        start.min(slots * MAX_START_SHARE).max(1.0)
    }

    /// Limit that must not be exceeded at first after a crash, and for how long.
    pub(super) fn ceiling(&self) -> Option<(f64, Duration)> {
        self.crash.map(|it| (it.ceiling(), it.ceiling_time))
    }
}

impl Crash {
    fn ceiling(&self) -> f64 {
        (self.limit * CEILING_AFTER_CRASH).max(1.0)
    }
}
