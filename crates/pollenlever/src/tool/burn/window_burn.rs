use std::collections::BTreeMap;

use serde::Serialize;

use crate::telemetry::{KindObjective, WindowCounts};

/// Counts over one window, summed over the nodes that answered.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window, in seconds.
    pub window_s: u64,
    /// How much of the window the longest running node has seen, in seconds.
    pub covered_s: u64,
    /// Good calls.
    pub good: u64,
    /// Bad calls.
    pub bad: u64,
    /// Bad calls by reason.
    pub bad_by_reason: BTreeMap<String, u64>,
    /// Calls that count neither way.
    pub invalid: u64,
    /// Pace at which the budget is used; at 1 it lasts exactly for the window of the objective.
    pub burn_rate: Option<f64>,
}

impl WindowBurn {
    /// Starts a sum over a window.
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

    /// Calls that count for or against the objective.
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Works out the burn rate from the counts.
    pub fn rate(&mut self, objective: &KindObjective) {
        let budget = 1.0 - objective.good_ratio;
        if self.total() > 0 && budget > 0.0 {
            self.burn_rate = Some(self.bad as f64 / self.total() as f64 / budget);
        }
    }
}
