use std::collections::BTreeMap;

use serde::Serialize;

use super::{Outlook, WindowBurn};
use crate::telemetry::{KindBurn, KindObjective};

/// Number of windows, from the shortest, that must all burn too fast before a breach is predicted.
/// The first shows that the cause still persists, the second that it is more than a short spike.
const SUSTAINED_WINDOWS: usize = 2;

/// Use of the error budget of one request kind, summed over nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: String,
    /// Name of the request kind.
    pub kind: String,
    /// Declared objective; `None` if neither a node nor the manifest gives it.
    pub objective: Option<KindObjective>,
    /// Sums by window, from the shortest to the longest.
    pub windows: Vec<WindowBurn>,
    /// Fraction of the error budget that is left, computed from the longest window that is not
    /// longer than that of the objective. Negative if more than the budget is used; `None` without
    /// an objective or calls.
    pub budget_left: Option<f64>,
    /// Whether the objective is breached or likely to be.
    pub outlook: Outlook,
}

impl BurnRow {
    /// Creates a row without counts.
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

    /// Computes burn rates, budget left and outlook after all nodes were added. `complete` says
    /// whether all nodes and regions answered.
    pub fn evaluate(&mut self, complete: bool) {
        let outlook = match self.objective {
            Some(objective) => self.evaluate_objective(objective),
            None => Outlook::NoObjective,
        };
        self.outlook = match complete || outlook.is_breach() {
            true => outlook,
            false => Outlook::Incomplete,
        };
    }

    /// Returns the name as `service/kind`.
    pub fn name(&self) -> String {
        format!("{}/{}", self.service, self.kind)
    }

    /// Returns the sums over the longest window.
    pub fn longest_window(&self) -> WindowBurn {
        self.windows.last().cloned().unwrap_or_default()
    }

    fn evaluate_objective(&mut self, objective: KindObjective) -> Outlook {
        for window in &mut self.windows {
            window.compute_burn_rate(&objective);
        }
        let Some(window) = self.windows.iter().rfind(|it| it.window_s <= objective.window_s) else {
            return Outlook::NoCalls;
        };
        let Some(rate) = window.burn_rate else { return Outlook::NoCalls };
        let spent = rate * window.covered_s as f64 / objective.window_s as f64;
        let budget_left = 1.0 - spent;
        self.budget_left = Some(budget_left);
        if budget_left <= 0.0 {
            return Outlook::Breached;
        }
        let sustained_burn_rate = self.sustained_burn_rate();
        if sustained_burn_rate <= 1.0 {
            return Outlook::Holding;
        }
        Outlook::Breaching {
            in_s: (budget_left * objective.window_s as f64 / sustained_burn_rate).round() as u64,
        }
    }

    /// Lowest burn rate of the shortest windows, which is high only if the cause has persisted for
    /// some time and still persists.
    fn sustained_burn_rate(&self) -> f64 {
        let rates =
            self.windows.iter().take(SUSTAINED_WINDOWS).map(|it| it.burn_rate.unwrap_or(0.0));
        rates.reduce(f64::min).unwrap_or(0.0)
    }
}
