use std::net::SocketAddr;

use crate::id::NodeId;

/// Purpose of a message whose reply is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Exchange {
    /// A push of changes over a link; a heartbeat if there are none.
    Push { to: NodeId, entries: Vec<SocketAddr> },
    /// A message whose failure needs no action.
    Notice,
    /// A probe (health check) of `node` on behalf of `requester`.
    IndirectProbe { node: NodeId, requester: NodeId },
    /// A comparison of digests; `rounds` is the number of preceding ones in this sync.
    Sync { to: NodeId, rounds: u32 },
}
