use std::time::Duration;

use pollenlever_core::config::Objective;
use serde::{Deserialize, Serialize};

/// Form of an [`Objective`] in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveObject {
    /// Share of requests that must be good.
    pub good_ratio: f64,
    /// Window in seconds.
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
