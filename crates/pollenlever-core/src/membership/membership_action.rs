use std::time::Duration;

use super::{GossipMessage, Member};
use crate::id::{ExchangeId, NodeId};

/// Action that the driver carries out for [`Membership`](super::Membership).
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a message; its reply or failure is reported with the same exchange id.
    Send {
        /// Id of the exchange, unique within this node.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The message.
        message: GossipMessage,
        /// Timeout for the reply.
        timeout: Duration,
    },
    /// Reply to the message that is being handled.
    Reply(GossipMessage),
    /// A member is new or its entry has changed.
    Updated(Member),
    /// The process of a member is gone or was replaced by a later one.
    Removed(NodeId),
}
