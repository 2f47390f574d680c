use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one request kind over one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Part of the window during which the node was running, in seconds; less than `window_s` until
    /// the node has run for a whole window.
    pub covered_s: u64,
    /// Calls whose complete answer arrived within the deadline.
    pub good: u64,
    /// Calls that failed because of an error of the caller; they count neither for nor against the
    /// objective.
    pub invalid: u64,
    /// Calls that count against the objective, by reason.
    pub bad: BTreeMap<String, u64>,
}

impl WindowCounts {
    /// Returns the number of calls that count against the objective.
    pub fn bad_total(&self) -> u64 {
        self.bad.values().sum()
    }

    /// Returns the number of calls that count for or against the objective.
    pub fn total(&self) -> u64 {
        self.good + self.bad_total()
    }
}
