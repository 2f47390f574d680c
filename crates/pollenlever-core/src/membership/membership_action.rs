use std::time::Duration;

use super::{GossipMessage, Member};
use crate::id::{ExchangeId, NodeId};

/// What the driver carries out for [`Membership`](super::Membership).
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a message; report its reply or failure under the same number.
    Send {
        /// Local number of the exchange.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The message.
        message: GossipMessage,
        /// Longest wait for the reply.
        timeout: Duration,
    },
    /// Reply to the message at hand.
    Reply(GossipMessage),
    /// A member is new or changed.
    Up(Member),
    /// A member is gone.
    Gone(NodeId),
}
