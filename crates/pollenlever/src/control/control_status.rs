use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A node's view of members and configurations, as served by `GET /pollenlever/v1/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The node, as `IP:PORT@INCARNATION`.
    pub node: String,
    /// Region in which it stands.
    pub region: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Versions of configuration in force on this node, by service.
    pub configs: BTreeMap<String, u64>,
    /// Members that the node knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Whether the platform's store answered last time.
    pub store_reachable: bool,
}

/// A member as shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node, as `IP:PORT@INCARNATION`.
    pub node: String,
    /// Its HTTP address for callers and operators.
    pub entry: String,
    /// Region in which it stands.
    pub region: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Service of its target, once announced.
    pub service: Option<String>,
    /// `absent`, `cold`, `ready` or `leaving`.
    pub state: String,
    /// Slots of its target.
    pub slots: u32,
}
