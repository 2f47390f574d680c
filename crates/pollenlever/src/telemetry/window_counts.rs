use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one kind of request over one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window, in seconds.
    pub window_s: u64,
    /// How much of the window the node has seen, in seconds; less after a start.
    pub covered_s: u64,
    /// Whole answers within the deadline.
    pub good: u64,
    /// Calls that count neither way, being mistakes of their callers.
    pub invalid: u64,
    /// All other calls, by reason.
    pub bad: BTreeMap<String, u64>,
}

impl WindowCounts {
    /// Calls that count against the objective.
    pub fn bad_total(&self) -> u64 {
        self.bad.values().sum()
    }

    /// Calls that count for or against the objective.
    pub fn total(&self) -> u64 {
        self.good + self.bad_total()
    }
}
