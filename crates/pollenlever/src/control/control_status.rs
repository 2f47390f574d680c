use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A node's view of members and configurations, as served by `GET /pollenlever/v1/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The node, as `IP:PORT@INCARNATION`.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Version of the configuration in force on this node, by service.
    pub configs: BTreeMap<String, u64>,
    /// Live members that the node knows, including itself.
    pub members: Vec<MemberStatus>,
    /// Whether the last call to the platform's store succeeded.
    pub store_reachable: bool,
}

/// A member as shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node, as `IP:PORT@INCARNATION`.
    pub node: String,
    /// Its HTTP address for callers and operators.
    pub entry: String,
    /// Region of the node.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Service of its target; `None` until the target has announced itself.
    pub service: Option<String>,
    /// `absent`, `cold`, `ready` or `leaving`.
    pub state: String,
    /// Slots of its target: the requests that it runs at once.
    pub slots: u32,
}
