use std::collections::BTreeMap;

use serde::Serialize;

use crate::telemetry::{KindObjective, WindowCounts};

/// Counts over one window, summed over the nodes that answered.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Part of the window during which the longest running node was running, in seconds.
    pub covered_s: u64,
    /// Calls that count for the objective.
    pub good: u64,
    /// Calls that count against the objective.
    pub bad: u64,
    /// Bad calls by reason.
    pub bad_by_reason: BTreeMap<String, u64>,
    /// Calls that failed because of an error of the caller; they count neither for nor against the
    /// objective.
    pub invalid: u64,
    /// Ratio of bad calls divided by the ratio that the objective allows. At 1 the budget lasts
    /// exactly for the window of the objective. `None` without calls or budget.
    pub burn_rate: Option<f64>,
}

impl WindowBurn {
    /// Creates an empty sum over a window.
    pub fn new(window_s: u64) -> WindowBurn {
        WindowBurn { window_s, ..WindowBurn::default() }
    }

    /// Adds the counts of one node.
    pub fn add(&mut self, counts: &WindowCounts) {
        self.covered_s = self.covered_s.max(counts.covered_s);
        self.good += counts.good;
        self.bad += counts.bad_total();
        self.invalid += counts.invalid;
        for (reason, count) in &counts.bad {
            *self.bad_by_reason.entry(reason.clone()).or_default() += count;
        }
    }

    /// Returns the number of calls that count for or against the objective.
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Sets the burn rate from the counts; without calls or budget it stays unset.
    pub fn compute_burn_rate(&mut self, objective: &KindObjective) {
        let budget = 1.0 - objective.good_ratio;
        if self.total() > 0 && budget > 0.0 {
            self.burn_rate = Some(self.bad as f64 / self.total() as f64 / budget);
        }
    }
}
