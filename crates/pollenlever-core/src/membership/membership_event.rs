use std::net::SocketAddr;

use super::GossipMessage;
use crate::id::{ExchangeId, NodeId};
use crate::policy::TargetNotice;

/// Event that the driver reports to [`Membership`](super::Membership).
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// A peer sent a message; exactly one `Reply` action answers it.
    Message(NodeId, GossipMessage),
    /// A peer replied.
    Reply(ExchangeId, GossipMessage),
    /// A message failed or got no reply in time.
    Failed(ExchangeId),
    /// Addresses of nodes through which to join.
    Seeds(Vec<SocketAddr>),
    /// The target (server process) beside this node sent a notice about itself.
    Target(TargetNotice),
    /// This node is leaving.
    Leave,
    /// Time passed; timers may be due.
    Tick,
}
