use std::net::SocketAddr;

use pollenlever_core::mesh::DepartedTarget;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Departure of the target beside a node, as stored in the platform's object store for a later
/// process of the node to read after a restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DepartureObject {
    /// Address of the node for other nodes.
    pub(super) peer: SocketAddr,
    /// Instance name that the target chose at its start.
    pub(super) instance: String,
    /// Latest start that is meant, in milliseconds of Unix time; a process of the instance that
    /// started later is another one.
    pub(super) started_ms: u64,
}

impl DepartureObject {
    /// The departure of the target beside the node at `peer`.
    pub(super) fn new(peer: SocketAddr, departed: &DepartedTarget) -> DepartureObject {
        let instance = departed.instance.to_string();
        DepartureObject { peer, instance, started_ms: departed.started }
    }

    /// The target that has left.
    pub(super) fn departed(&self) -> DepartedTarget {
        DepartedTarget { instance: self.instance.as_str().into(), started: self.started_ms }
    }

    /// Parses a value from the store; `None` if it does not have this form.
    pub(super) fn from_value(value: &Value) -> Option<DepartureObject> {
        DepartureObject::deserialize(value).ok()
    }
}
