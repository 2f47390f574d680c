use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::id::{NodeId, RegionName, ServiceName, ZoneName};
use crate::policy::TargetNotice;

/// State of the target (server process) beside a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub enum TargetState {
    /// No target has announced itself.
    #[default]
    Absent,
    /// The target takes requests, but its caches are still cold.
    Cold,
    /// The target takes requests.
    Ready,
    /// The target is about to stop and gets no new requests.
    Leaving,
}

/// Membership entry of a node and the target beside it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Address on which the node serves callers and operators over HTTP.
    pub entry: SocketAddr,
    /// Version of this entry; raised by the node itself with each change.
    pub version: u64,
    /// Region in which the node runs.
    pub region: RegionName,
    /// Availability zone in which the node runs.
    pub zone: ZoneName,
    /// Service of the target; `None` until a target has announced itself.
    pub service: Option<ServiceName>,
    /// State of the target.
    pub state: TargetState,
    /// Number of requests that the target can run concurrently; 0 if unknown.
    pub slots: u32,
}

impl Member {
    /// An entry without region, zone and target, whose `entry` address is the peer address.
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

    /// The entry after a notice from the target. The version stays the same.
    pub fn after_notice(&self, notice: TargetNotice) -> Member {
        let mut member = self.clone();
        match notice {
            TargetNotice::Announce { service, slots, cold } => {
                member.service = Some(service);
                member.slots = slots.unwrap_or(member.slots);
                member.state = if cold { TargetState::Cold } else { TargetState::Ready };
            }
            TargetNotice::Leaving => member.state = TargetState::Leaving,
            TargetNotice::Exited => member.state = TargetState::Absent,
            TargetNotice::Load { .. } => {}
        }
        member
    }
}
