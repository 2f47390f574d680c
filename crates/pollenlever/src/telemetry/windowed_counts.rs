use std::time::Duration;

use super::{Verdict, WindowCounts, WindowRing};

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// Counts of one kind of request over several windows.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::telemetry::{Verdict, WindowedCounts};
/// let mut counts = WindowedCounts::default();
/// counts.add(Duration::from_secs(1), Verdict::Good);
/// let windows = counts.windows(Duration::from_secs(2));
/// assert_eq!((windows[0].window_s, windows[0].covered_s, windows[0].good), (300, 2, 1));
/// ```
#[derive(Debug, Clone)]
pub struct WindowedCounts {
    rings: [WindowRing; 4],
}

impl WindowedCounts {
    /// Windows in seconds, from the shortest to the longest.
    pub const WINDOWS_S: [u64; 4] = [5 * MINUTE, HOUR, 6 * HOUR, 3 * DAY];

    /// Counts one call at `now`, the time since the node started.
    pub fn add(&mut self, now: Duration, verdict: Verdict) {
        for ring in &mut self.rings {
            ring.add(now, verdict);
        }
    }

    /// Counts of each window that ends at `now`.
    pub fn windows(&self, now: Duration) -> Vec<WindowCounts> {
        self.rings.iter().map(|it| window_counts(it, now)).collect()
    }
}

impl Default for WindowedCounts {
    fn default() -> WindowedCounts {
        let ring = |seconds| WindowRing::new(Duration::from_secs(seconds));
        WindowedCounts { rings: WindowedCounts::WINDOWS_S.map(ring) }
    }
}

fn window_counts(ring: &WindowRing, now: Duration) -> WindowCounts {
    let tally = ring.sum(now);
    WindowCounts {
        window_s: ring.window().as_secs(),
        covered_s: ring.window().min(now).as_secs(),
        good: tally.good,
        invalid: tally.invalid,
        bad: tally.bad_by_reason(),
    }
}
