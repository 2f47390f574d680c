use std::time::Duration;

use crate::Timestamp;

/// Advance of the confirmation from which it is announced to other nodes again.
const MIN_ANNOUNCED_ADVANCE: Duration = Duration::from_millis(500);

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

    /// Records that the confirmation is announced, and returns its age.
    pub fn announce(&mut self, now: Timestamp) -> Duration {
        self.announced_at = self.confirmed_at;
        self.age(now)
    }
}
