use std::time::Duration;

use super::{Verdict, WindowCounts, WindowRing};

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Counts of one request kind over several sliding windows.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::telemetry::{MultiWindowCounts, Verdict};
/// let mut counts = MultiWindowCounts::default();
/// counts.record_call(Duration::from_secs(1), Verdict::Good);
/// let windows = counts.windows(Duration::from_secs(2));
/// assert_eq!((windows[0].window_s, windows[0].covered_s, windows[0].good), (300, 2, 1));
/// ```
#[derive(Debug, Clone)]
pub struct MultiWindowCounts {
    rings: [WindowRing; 4],
}

impl MultiWindowCounts {
    /// Lengths of the windows in seconds, from the shortest to the longest.
    pub const WINDOWS_S: [u64; 4] = [5 * MINUTE_S, HOUR_S, 6 * HOUR_S, 3 * DAY_S];

    /// Records one call that ended at `now`, the time since the node started.
    pub fn record_call(&mut self, now: Duration, verdict: Verdict) {
        for ring in &mut self.rings {
            ring.record_call(now, verdict);
        }
    }

    /// Returns the counts of each window, ending at `now`.
    pub fn windows(&self, now: Duration) -> Vec<WindowCounts> {
        self.rings.iter().map(|it| window_counts(it, now)).collect()
    }
}

impl Default for MultiWindowCounts {
    fn default() -> MultiWindowCounts {
        let ring = |seconds| WindowRing::new(Duration::from_secs(seconds));
        MultiWindowCounts { rings: MultiWindowCounts::WINDOWS_S.map(ring) }
    }
}

fn window_counts(ring: &WindowRing, now: Duration) -> WindowCounts {
    let verdict_counts = ring.sum(now);
    WindowCounts {
        window_s: ring.window().as_secs(),
        covered_s: ring.window().min(now).as_secs(),
        good: verdict_counts.good,
        invalid: verdict_counts.invalid,
        bad: verdict_counts.bad_by_reason(),
    }
}
