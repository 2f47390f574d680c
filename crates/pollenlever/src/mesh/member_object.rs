use std::net::SocketAddr;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::mesh::TargetReport;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A [`Member`] as stored in the platform's object store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the fields are those of `Member`
pub struct MemberObject {
    pub peer: SocketAddr,
    pub incarnation: u64,
    pub version: u64,
    pub region: String,
    pub zone: String,
    pub service: Option<String>,
    pub state: String,
    pub slots: u32,
    /// The target (server process) beside the node, for a later process of the node to read after a
    /// restart.
    pub target: Option<TargetIdentity>,
}

/// Identity of a target process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIdentity {
    /// Instance name that the target chose at its start.
    pub instance: String,
    /// Latest start that is meant, in milliseconds of Unix time; a process of the instance that
    /// started later is another one.
    pub started_ms: u64,
    /// Whether it announced that it is shutting down.
    pub is_leaving: bool,
}

impl From<&TargetReport> for TargetIdentity {
    fn from(report: &TargetReport) -> TargetIdentity {
        TargetIdentity {
            instance: report.instance.to_string(),
            started_ms: report.started,
            is_leaving: report.is_draining,
        }
    }
}

impl MemberObject {
    /// Stored form of `member`, with the target beside it.
    pub fn new(member: &Member, target: Option<TargetIdentity>) -> MemberObject {
        MemberObject {
            peer: member.node.addr,
            incarnation: member.node.incarnation,
            version: member.version,
            region: member.region.to_string(),
            zone: member.zone.to_string(),
            service: member.service.as_ref().map(ToString::to_string),
            state: state_name(member.state).to_owned(),
            slots: member.slots,
            target,
        }
    }

    /// Parses a value from the store; `None` if it does not have this form.
    pub fn from_value(value: &Value) -> Option<MemberObject> {
        MemberObject::deserialize(value).ok()
    }

    /// Converts the stored form back to a member.
    pub fn to_member(&self) -> Member {
        let node = NodeId { addr: self.peer, incarnation: self.incarnation };
        Member {
            version: self.version,
            region: self.region.as_str().into(),
            zone: self.zone.as_str().into(),
            service: self.service.as_deref().map(Into::into),
            state: state_of(&self.state),
            slots: self.slots,
            ..Member::new(node)
        }
    }
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Absent => "absent",
        TargetState::Cold => "cold",
        TargetState::Ready => "ready",
        TargetState::Leaving => "leaving",
    }
}

fn state_of(name: &str) -> TargetState {
    match name {
        "cold" => TargetState::Cold,
        "ready" => TargetState::Ready,
        "leaving" => TargetState::Leaving,
        _ => TargetState::Absent,
    }
}
