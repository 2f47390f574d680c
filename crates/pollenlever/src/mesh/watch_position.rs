use std::time::Duration;

use crate::store::{ObjectList, Revision};

/// Position of a watch in the store's sequence of updates.
#[derive(Debug, Default)]
pub(super) struct WatchPosition {
    pub(super) since: Option<Revision>,
    /// Whether the next list must not be stale: this node reads for others, the store no longer
    /// had the changes after the position, or it has a version that this node knows of.
    pub(super) needs_present_list: bool,
}

/// A call that reads the routes from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteRead {
    /// Wait for changes after a revision, at most for this time.
    Watch(Revision, Duration),
    /// Read the present routes.
    List,
    /// Read routes that may be some seconds old.
    ListAllowingStale,
}

impl WatchPosition {
    /// The next call of a node at this position; a watch waits for `wait`.
    pub(super) fn next_read(&self, wait: Duration) -> RouteRead {
        match self {
            WatchPosition { since: Some(since), .. } => {
                // The store takes whole milliseconds.
                RouteRead::Watch(*since, Duration::from_millis(wait.as_millis() as u64))
            }
            WatchPosition { needs_present_list: true, .. } => RouteRead::List,
            WatchPosition { .. } => RouteRead::ListAllowingStale,
        }
    }
}

impl RouteRead {
    /// Time at which the store held nothing newer than what the call has returned, for a call that was
    /// sent at `sent_at` and took `took`; `None` if it may have returned something older.
    pub(super) fn confirmed_at(
        self,
        list: &ObjectList,
        sent_at: Duration,
        took: Duration,
    ) -> Option<Duration> {
        match self {
            RouteRead::Watch(_, wait) if list.objects.is_empty() && took >= wait => {
                Some(sent_at + wait)
            }
            RouteRead::Watch(..) | RouteRead::List => Some(sent_at),
            RouteRead::ListAllowingStale => None,
        }
    }
}
