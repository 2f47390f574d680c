use std::time::Duration;

use crate::Timestamp;

/// Members of a region that watch the store for all of its nodes.
pub const WATCHERS_PER_REGION: usize = 3;
/// Time after the start during which a node takes no duty, because it does not know enough members
/// yet to tell its rank.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Age of the last confirmation from which other nodes than the watchers read the store. A watcher
/// that reaches the store confirms the routes more often.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1700);
/// Time between two groups of nodes that step in, each as large as all before it together, so that few
/// nodes read the store if the first ones reach it.
const GROUP_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a deputy keeps the duty.
const DEPUTY_TERM: Duration = Duration::from_secs(5);
/// Time from sending a call that fails until the node may step in again. A node that the store serves again
/// has to know the present routes within 3 s.
const DEPUTY_RETRY_INTERVAL: Duration = Duration::from_millis(2700);

/// What a node does about routes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreDuty {
    /// It leaves the store to other nodes.
    None,
    /// It watches the store for its region, by its rank.
    Watcher,
    /// It watches the store in place of the watchers, of which nothing is heard.
    Deputy,
}

/// Decides whether a node watches the store.
///
/// Rank alone does not say whether a node can do it: the store may refuse some nodes and serve
/// others, and a watcher may be slow or cut off. So each node relies on the watchers only as long
/// as it hears that one of them has reached the store.
#[derive(Debug, Default)]
pub struct StoreDutyChoice {
    deputy_until: Timestamp,
    not_before: Timestamp,
}

impl StoreDutyChoice {
    /// The duty of the node at `rank` in its region, which last heard at `confirmed_at` that its
    /// routes are the newest ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::{StoreDuty, StoreDutyChoice};
    /// let s = Duration::from_secs;
    /// let mut choice = StoreDutyChoice::default();
    /// assert_eq!(choice.duty(s(60), 0, s(60)), StoreDuty::Watcher);
    /// assert_eq!(choice.duty(s(60), 3, s(59)), StoreDuty::None);
    /// assert_eq!(choice.duty(s(61), 3, s(59)), StoreDuty::Deputy);
    /// ```
    pub fn duty(&mut self, now: Timestamp, rank: usize, confirmed_at: Timestamp) -> StoreDuty {
        if now < SETTLE_TIME {
            return StoreDuty::None;
        }
        if rank < WATCHERS_PER_REGION {
            return StoreDuty::Watcher;
        }
        if now >= self.steps_in_at(rank, confirmed_at) {
            self.deputy_until = now + DEPUTY_TERM;
        }
        if now < self.deputy_until { StoreDuty::Deputy } else { StoreDuty::None }
    }

    /// When the node steps in unless it hears of a later confirmation.
    pub fn steps_in_at(&self, rank: usize, confirmed_at: Timestamp) -> Timestamp {
        let groups = (rank / WATCHERS_PER_REGION).max(1).ilog2();
        let heard_until = confirmed_at.max(SETTLE_TIME) + MAX_CONFIRMATION_AGE;
        (heard_until + GROUP_INTERVAL * groups).max(self.not_before)
    }

    /// Records that a call to the store, sent at `sent_at`, failed: a deputy lets others try.
    pub fn record_failure(&mut self, now: Timestamp, sent_at: Timestamp) {
        self.deputy_until = now;
        self.not_before = now.max(sent_at + DEPUTY_RETRY_INTERVAL);
    }
}
