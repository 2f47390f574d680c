use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::policy::TargetNotice;
use pollenlever_core::rollout::ConfigMessage;

use super::ControlStatus;

/// A control message from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlInput {
    /// Membership news.
    Gossip(GossipMessage),
    /// Configuration news.
    Config(ConfigMessage),
}

/// The reply to a [`ControlInput`].
pub type ControlReply = ControlInput;

/// The control threads as seen by the rest of the node. No call waits for the network.
pub trait ControlHandle: Send + Sync {
    /// Takes a message from a peer and gives the reply at once.
    fn receive(&self, from: NodeId, input: ControlInput) -> ControlReply;

    /// Takes what the target beside this node says about itself and spreads it.
    fn target_notice(&self, notice: TargetNotice);

    /// Spreads that this node is leaving.
    fn leave(&self);

    /// Members and configurations as this node sees them.
    fn status(&self) -> ControlStatus;
}

/// Control of whichever kind, shared by the threads of a node.
pub type BoxControl = Arc<dyn ControlHandle>;
