use std::time::Duration;

use crate::Timestamp;

/// Advance of the confirmation from which it is announced to linked nodes of the region again.
const MIN_ANNOUNCED_ADVANCE: Duration = Duration::from_millis(500);
/// Age of the confirmation from which a node asks other regions for theirs, early enough for the answer
/// to arrive before nodes step in for the watchers of its region.
const ASK_AGE: Duration = Duration::from_millis(1400);
/// Shortest time between two questions.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(400);
/// A confirmation is asked for again after its age divided by this.
const ASK_INTERVAL_DIVISOR: u32 = 4;
/// Advance of the confirmation over that of a node in another region from which it is told.
const MIN_ANSWERED_ADVANCE: Duration = Duration::from_millis(200);

/// When the routes of a node were last known to be the newest ones in the store, by its own reading or
/// from what other nodes announce.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::mesh::RouteFreshness;
/// let s = Duration::from_secs;
/// let mut freshness = RouteFreshness::default();
/// freshness.confirm(s(7));
/// freshness.confirm(s(5));
/// assert_eq!(freshness.confirmed_at(), s(7));
/// assert_eq!(freshness.age(s(9)), s(2));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteFreshness {
    confirmed_at: Timestamp,
    announced_at: Timestamp,
    asked_at: Timestamp,
}

impl RouteFreshness {
    /// Records that the store held no newer routes at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// The latest time at which the store held no newer routes; zero if that was never known.
    pub fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at
    }

    /// Time since then.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Whether linked nodes should hear of the confirmation.
    pub fn is_announcement_due(&self) -> bool {
        self.confirmed_at >= self.announced_at + MIN_ANNOUNCED_ADVANCE
    }

    /// When other regions should be asked for their confirmation. Each region has watchers of its own, so
    /// confirmations pass between regions only where these fail.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::RouteFreshness;
    /// let ms = Duration::from_millis;
    /// let mut freshness = RouteFreshness::default();
    /// freshness.confirm(ms(7000));
    /// assert_eq!(freshness.asks_at(), ms(8400));
    /// freshness.record_asked(ms(8400));
    /// assert_eq!(freshness.asks_at(), ms(8800));
    /// ```
    pub fn asks_at(&self) -> Timestamp {
        let interval = self.age(self.asked_at) / ASK_INTERVAL_DIVISOR;
        (self.confirmed_at + ASK_AGE).max(self.asked_at + interval.max(MIN_ASK_INTERVAL))
    }

    /// Records that other regions are asked.
    pub fn record_asked(&mut self, now: Timestamp) {
        self.asked_at = now;
    }

    /// Whether a node in another region, whose confirmation has the given age, should be told this one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::RouteFreshness;
    /// let ms = Duration::from_millis;
    /// let mut freshness = RouteFreshness::default();
    /// freshness.confirm(ms(7000));
    /// assert!(freshness.answers(ms(7300), ms(1200)));
    /// assert!(!freshness.answers(ms(7300), ms(400)));
    /// ```
    pub fn answers(&self, now: Timestamp, age: Duration) -> bool {
        age >= self.age(now) + MIN_ANSWERED_ADVANCE
    }

    /// Records that the confirmation is announced.
    pub fn announce(&mut self) {
        self.announced_at = self.confirmed_at;
    }
}
