use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// Waits while the calls of the watchers end at different times. A store that drops a call without an
/// answer is noticed only when the call times out, and until then no node hears of new routes from
/// this one.
const WAITS_IN_TURN: Range<Duration> = ms(1450)..ms(1500);
/// Waits of a watcher whose calls end together with those of others, or that hears of no others.
const CROWDED_WAITS: Range<Duration> = ms(750)..ms(1500);
/// Waits after a change, which ends the calls of all watchers before they could confirm anything.
const WAITS_AFTER_CHANGE: Range<Duration> = ms(400)..ms(1500);
/// Time since the last confirmation that a node has heard of while the watchers confirm in turn. A shorter
/// one says that calls end together; a longer one that nobody else confirms, or does at the same time
/// as this node and was not heard yet.
const DISTANCES_IN_TURN: Range<Duration> = ms(300)..ms(1000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long the next watch call of a node waits.
///
/// The watchers of a region confirm the routes in turn if their calls end at different times. Calls that
/// end together confirm the same moment, so such watchers move apart. Otherwise waits are long, as each
/// call has a price.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::mesh::WatchWait;
/// let mut wait = WatchWait::default();
/// wait.record_unchanged(Duration::from_millis(9000), Duration::from_millis(8500));
/// assert!(wait.next(&mut rand::rng()) >= Duration::from_millis(1450));
/// wait.record_change();
/// assert!(wait.next(&mut rand::rng()) >= Duration::from_millis(400));
/// ```
#[derive(Debug)]
pub struct WatchWait {
    waits: Range<Duration>,
}

impl WatchWait {
    /// Records that a call of this node has confirmed the routes at `at`, and that the last confirmation
    /// of which this node had heard was at `last`.
    pub fn record_unchanged(&mut self, at: Timestamp, last: Timestamp) {
        let is_in_turn = DISTANCES_IN_TURN.contains(&at.saturating_sub(last));
        self.waits = if is_in_turn { WAITS_IN_TURN } else { CROWDED_WAITS };
    }

    /// Records that a call of this node has returned a change.
    pub fn record_change(&mut self) {
        self.waits = WAITS_AFTER_CHANGE;
    }

    /// The wait of the next call.
    pub fn next(&self, rng: &mut impl Rng) -> Duration {
        rng.random_range(self.waits.clone())
    }
}

/// Nodes that start together watch together at first.
impl Default for WatchWait {
    fn default() -> WatchWait {
        WatchWait { waits: CROWDED_WAITS }
    }
}
