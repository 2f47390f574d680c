use std::net::SocketAddr;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::mesh::TargetReport;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Form of a [`Member`] in the store.
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
    /// The target beside the node, for a later process of the node.
    pub target: Option<TargetIdentity>,
}

/// A process of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIdentity {
    /// Name that the target drew.
    pub instance: String,
    /// Latest start of a process that is meant, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Whether it said that it leaves.
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
    /// Form of `member` beside `target`.
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

    /// Reads the form from a value in the store; `None` if it has another form.
    pub fn from_value(value: &Value) -> Option<MemberObject> {
        MemberObject::deserialize(value).ok()
    }

    /// The member.
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
