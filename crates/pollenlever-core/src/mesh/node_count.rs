use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Time for which a higher count is kept after nodes have disappeared. It outlasts a partition, in
/// which nodes that are out of sight go on spending their share.
const RETENTION: Duration = Duration::from_secs(3600);

/// Number of nodes that share a bound: the highest count that membership gave lately.
#[derive(Debug, Default)]
pub(super) struct NodeCount {
    /// Falling counts, the highest first, each with the time from which no higher one was given.
    highest: VecDeque<(Timestamp, usize)>,
}

impl NodeCount {
    /// Records the number of nodes that are known now, this one included.
    pub(super) fn record(&mut self, now: Timestamp, nodes: usize) {
        while self.highest.back().is_some_and(|(_, it)| *it < nodes) {
            self.highest.pop_back();
        }
        if self.highest.back().is_none_or(|(_, it)| *it > nodes) {
            self.highest.push_back((now, nodes));
        }
        while self.highest.len() > 1 && self.is_outdated(now) {
            self.highest.pop_front();
        }
    }

    /// The highest recent count; `None` if none was recorded.
    pub(super) fn get(&self) -> Option<usize> {
        self.highest.front().map(|(_, nodes)| *nodes)
    }

    /// Whether the highest count was given for the last time so long ago that the next one counts.
    fn is_outdated(&self, now: Timestamp) -> bool {
        self.highest.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= RETENTION)
    }
}
