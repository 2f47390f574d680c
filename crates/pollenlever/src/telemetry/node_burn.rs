use serde::{Deserialize, Serialize};

use super::KindBurn;

/// What a node has counted since it started, as served by `GET /pollenlever/v1/burn`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeBurn {
    /// The node, as `IP:PORT@INCARNATION`.
    pub node: String,
    /// Region in which it stands.
    pub region: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Seconds since it started.
    pub uptime_s: u64,
    /// Counts by kind of request.
    pub kinds: Vec<KindBurn>,
}
