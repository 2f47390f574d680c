use serde::Serialize;

use crate::control::MemberStatus;

/// A member whose counts are not in the report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct MissingNode {
    /// HTTP address of the node.
    pub entry: String,
    /// Region in which it stands.
    pub region: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Service of its target.
    pub service: Option<String>,
    /// Why there is no answer.
    pub reason: String,
}

impl MissingNode {
    /// A member that gave no answer for `reason`.
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
