use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::policy::TargetNotice;
use pollenlever_core::rollout::ConfigMessage;

use super::ControlStatus;

/// A control message from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlInput {
    /// Gossip about the membership: heartbeats and changes of members.
    Gossip(GossipMessage),
    /// Exchange of configurations.
    Config(ConfigMessage),
}

/// Reply to a [`ControlInput`], of the same variant.
pub type ControlReply = ControlInput;

/// Interface of the control threads to the rest of the node. No method waits for the network.
pub trait ControlHandle: Send + Sync {
    /// Handles a message from a peer and returns the reply.
    fn receive(&self, from: NodeId, input: ControlInput) -> ControlReply;

    /// Records what this node's target, the server process beside it, reports about itself, and
    /// gossips it to the other members.
    fn target_notice(&self, notice: TargetNotice);

    /// Tells the other members that this node is leaving.
    fn leave(&self);

    /// Members and configurations as this node sees them.
    fn status(&self) -> ControlStatus;
}

/// A control handle that the threads of a node share.
pub type BoxControl = Arc<dyn ControlHandle>;
