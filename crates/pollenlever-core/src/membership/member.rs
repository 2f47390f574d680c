use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::id::{NodeId, RegionName, ServiceName, ZoneName};
use crate::policy::TargetNotice;

/// State of the target beside a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TargetState {
    /// No target has announced itself.
    #[default]
    Absent,
    /// The target serves, with cold caches.
    Cold,
    /// The target serves.
    Ready,
    /// The target is leaving and gets no new work.
    Leaving,
}

/// A node with the target beside it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Address on which the node serves callers and operators over HTTP.
    pub entry: SocketAddr,
    /// Version of this entry, raised by the node itself.
    pub version: u64,
    /// Region in which the node stands.
    pub region: RegionName,
    /// Availability zone in which the node stands.
    pub zone: ZoneName,
    /// Service of the target, once announced.
    pub service: Option<ServiceName>,
    /// State of the target.
    pub state: TargetState,
    /// Requests that the target runs at once; 0 if unknown.
    pub slots: u32,
}

impl Member {
    /// A member without region, zone or target, serving callers at its peer address.
    pub fn new(node: NodeId) -> Member {
        Member {
            node,
            entry: node.addr,
            version: 0,
            region: "".into(),
            zone: "".into(),
            service: None,
            state: TargetState::Absent,
            slots: 0,
        }
    }

    /// The member after its target said something about itself, under the same version.
    pub fn after_notice(&self, notice: TargetNotice) -> Member {
        let mut member = self.clone();
        match notice {
            TargetNotice::Announce { service, slots, cold } => {
                member.service = Some(service);
                member.slots = slots.unwrap_or(member.slots);
                member.state = if cold { TargetState::Cold } else { TargetState::Ready };
            }
            TargetNotice::Leaving => member.state = TargetState::Leaving,
            TargetNotice::Gone => member.state = TargetState::Absent,
            TargetNotice::Load { .. } => {}
        }
        member
    }
}
