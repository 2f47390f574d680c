use pollenlever_core::id::NodeId;
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::policy::TargetNotice;
use pollenlever_core::rollout::ConfigMessage;

use crate::control::{ControlHandle, ControlInput, ControlReply, ControlStatus};

/// Control of a node that stands alone: no members and no configurations.
pub(super) struct NoControl {
    pub(super) me: NodeId,
}

impl ControlHandle for NoControl {
    fn receive(&self, _from: NodeId, input: ControlInput) -> ControlReply {
        match input {
            ControlInput::Gossip(_) => ControlInput::Gossip(GossipMessage::default()),
            ControlInput::Config(_) => ControlInput::Config(ConfigMessage::default()),
        }
    }

    fn target_notice(&self, _notice: TargetNotice) {}

    fn leave(&self) {}

    fn status(&self) -> ControlStatus {
        ControlStatus { node: self.me.to_string(), ..ControlStatus::default() }
    }
}
