use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::policy::TargetNotice;
use pollenlever_core::rollout::ConfigMessage;

use super::ControlStatus;

/// A control message from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlMessage {
    /// Gossip about the membership: heartbeats and changes of members.
    Gossip(GossipMessage),
    /// Exchange of configurations.
    Config(ConfigMessage),
}

/// Reply to a [`ControlMessage`], of the same variant.
pub type ControlReply = ControlMessage;

/// Interface of the control threads to the rest of the node. No method waits for the network.
pub trait ControlHandle: Send + Sync {
    /// Handles a message from a peer and returns the reply.
    fn handle_message(&self, from: NodeId, message: ControlMessage) -> ControlReply;

    /// Records what this node's target, the server process beside it, reports about itself, and
    /// gossips it to the other members.
    fn handle_target_notice(&self, notice: TargetNotice);

    /// Tells the other members that this node is leaving.
    fn announce_leave(&self);

    /// Members and configurations as this node sees them.
    fn status(&self) -> ControlStatus;
}

/// A control handle that the threads of a node share.
pub type SharedControl = Arc<dyn ControlHandle>;
