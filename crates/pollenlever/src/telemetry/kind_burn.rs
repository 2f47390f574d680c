use serde::{Deserialize, Serialize};

use super::{KindObjective, WindowCounts};

/// Counts of one request kind on one node, from which the burn report computes the use of the error
/// budget.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KindBurn {
    /// Name of the service.
    pub service: String,
    /// Name of the request kind.
    pub kind: String,
    /// Declared objective; `None` if the node has no configuration of the service.
    pub objective: Option<KindObjective>,
    /// Counts by window, from the shortest to the longest; empty until the first call ends.
    #[serde(default)]
    pub windows: Vec<WindowCounts>,
}
