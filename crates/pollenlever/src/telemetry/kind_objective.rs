use pollenlever_core::config::Objective;
use serde::{Deserialize, Serialize};

/// Service-level objective of a request kind, as shown to operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct KindObjective {
    /// Fraction of calls that must be good, from 0 to 1.
    pub good_ratio: f64,
    /// Window over which the fraction is measured, in seconds.
    pub window_s: u64,
}

impl From<&Objective> for KindObjective {
    fn from(objective: &Objective) -> KindObjective {
        KindObjective { good_ratio: objective.good_ratio, window_s: objective.window.as_secs() }
    }
}
