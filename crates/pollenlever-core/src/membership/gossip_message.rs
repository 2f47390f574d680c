use bincode::{Decode, Encode};

use super::Member;
use crate::id::NodeId;

/// Membership news from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// Members that are new or changed.
    pub up: Vec<Member>,
    /// Members that are gone.
    pub gone: Vec<NodeId>,
}
