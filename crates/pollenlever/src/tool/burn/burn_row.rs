use std::collections::BTreeMap;

use serde::Serialize;

use super::{Outlook, WindowBurn};
use crate::telemetry::{KindBurn, KindObjective};

/// Windows, from the shortest, that must both burn before a breach is foreseen: the first shows
/// that the cause still lasts, the second that it is no mere spike.
const PACE_WINDOWS: usize = 2;

/// Burn of one kind of request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// Service.
    pub service: String,
    /// Kind of request.
    pub kind: String,
    /// Declared objective, if a node knows it.
    pub objective: Option<KindObjective>,
    /// Sums by window, from the shortest to the longest.
    pub windows: Vec<WindowBurn>,
    /// Share of the error budget that is left, judged by the longest window within that of the
    /// objective; below 0 when overdrawn.
    pub budget_left: Option<f64>,
    /// Where the budget is heading.
    pub outlook: Outlook,
}

impl BurnRow {
    /// Starts the sums of a kind of request.
    pub fn new(service: &str, kind: &str) -> BurnRow {
        BurnRow {
            service: service.to_owned(),
            kind: kind.to_owned(),
            objective: None,
            windows: Vec::new(),
            budget_left: None,
            outlook: Outlook::NoCalls,
        }
    }

    /// Adds the counts of one node.
    pub fn add(&mut self, burn: &KindBurn) {
        self.objective = self.objective.or(burn.objective);
        let mut sums: BTreeMap<u64, WindowBurn> =
            self.windows.drain(..).map(|it| (it.window_s, it)).collect();
        for counts in &burn.windows {
            let sum = sums.entry(counts.window_s);
            sum.or_insert_with(|| WindowBurn::new(counts.window_s)).add(counts);
        }
        self.windows = sums.into_values().collect();
    }

    /// Works out rates, budget and outlook once all nodes are added.
    pub fn judge(&mut self, complete: bool) {
        let outlook = match self.objective {
            Some(objective) => self.judge_by(objective),
            None => Outlook::NoObjective,
        };
        self.outlook = match complete || outlook.is_breach() {
            true => outlook,
            false => Outlook::Incomplete,
        };
    }

    /// Name as `service/kind`.
    pub fn name(&self) -> String {
        format!("{}/{}", self.service, self.kind)
    }

    /// Sums over the longest window.
    pub fn longest(&self) -> WindowBurn {
        self.windows.last().cloned().unwrap_or_default()
    }

    fn judge_by(&mut self, objective: KindObjective) -> Outlook {
        for window in &mut self.windows {
            window.rate(&objective);
        }
        let Some(window) = self.windows.iter().rfind(|it| it.window_s <= objective.window_s) else {
            return Outlook::NoCalls;
        };
        let Some(rate) = window.burn_rate else { return Outlook::NoCalls };
        let spent = rate * window.covered_s as f64 / objective.window_s as f64;
        let left = 1.0 - spent;
        self.budget_left = Some(left);
        if left <= 0.0 {
            return Outlook::Breached;
        }
        let pace = self.pace();
        if pace <= 1.0 {
            return Outlook::Holding;
        }
        Outlook::Breaching { in_s: (left * objective.window_s as f64 / pace).round() as u64 }
    }

    /// Burn rate that has lasted and still lasts.
    fn pace(&self) -> f64 {
        let rates = self.windows.iter().take(PACE_WINDOWS).map(|it| it.burn_rate.unwrap_or(0.0));
        rates.reduce(f64::min).unwrap_or(0.0)
    }
}
