use serde::Serialize;

use crate::control::MemberStatus;

/// A member whose counts are missing from the report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct MissingNode {
    /// HTTP address of the node, as `IP:PORT`.
    pub entry: String,
    /// Region of the node.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Service of the target (server process) beside the node; `None` if it has no target.
    pub service: Option<String>,
    /// Why the node did not answer.
    pub reason: String,
}

impl MissingNode {
    /// Creates the entry for a member that did not answer because of `reason`.
    pub fn new(member: &MemberStatus, reason: String) -> MissingNode {
        MissingNode {
            entry: member.entry.clone(),
            region: member.region.clone(),
            zone: member.zone.clone(),
            service: member.service.clone(),
            reason,
        }
    }
}
