use serde::{Deserialize, Serialize};

use super::KindBurn;

/// Call counts of a node since it started, as served by `GET /pollenlever/v1/burn`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeBurn {
    /// The node, as `IP:PORT@INCARNATION`; the node draws a new incarnation at each start.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Seconds since the node started.
    pub uptime_s: u64,
    /// Counts by request kind, sorted by service and kind.
    pub kinds: Vec<KindBurn>,
}
