use std::time::Duration;

use pollenlever_core::config::Objective;
use serde::{Deserialize, Serialize};

/// An [`Objective`] as stored in JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveObject {
    /// Share of requests that must be good, between 0 and 1.
    pub good_ratio: f64,
    /// Length of the window over which the share is measured, in seconds.
    pub window_s: u64,
}

impl From<&Objective> for ObjectiveObject {
    fn from(objective: &Objective) -> ObjectiveObject {
        ObjectiveObject { good_ratio: objective.good_ratio, window_s: objective.window.as_secs() }
    }
}

impl From<&ObjectiveObject> for Objective {
    fn from(object: &ObjectiveObject) -> Objective {
        Objective { good_ratio: object.good_ratio, window: Duration::from_secs(object.window_s) }
    }
}
