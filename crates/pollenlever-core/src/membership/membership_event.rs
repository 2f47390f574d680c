use std::net::SocketAddr;

use super::GossipMessage;
use crate::id::{ExchangeId, NodeId};
use crate::policy::TargetNotice;

/// What the driver reports to [`Membership`](super::Membership).
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// A peer sent a message; answered with one `Reply` action.
    Message(NodeId, GossipMessage),
    /// A peer replied.
    Reply(ExchangeId, GossipMessage),
    /// A message got no reply.
    Failed(ExchangeId),
    /// Addresses through which to join.
    Seeds(Vec<SocketAddr>),
    /// The target beside this node said something about itself.
    Target(TargetNotice),
    /// This node is leaving.
    Leave,
    /// Time passed.
    Tick,
}
