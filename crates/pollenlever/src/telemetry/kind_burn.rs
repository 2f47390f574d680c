use serde::{Deserialize, Serialize};

use super::{KindObjective, WindowCounts};

/// Counts of one kind of request on one node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KindBurn {
    /// Service.
    pub service: String,
    /// Kind of request.
    pub kind: String,
    /// Declared objective, if the node has the configuration of the service.
    pub objective: Option<KindObjective>,
    /// Counts by window, from the shortest to the longest; empty before the first call.
    #[serde(default)]
    pub windows: Vec<WindowCounts>,
}
