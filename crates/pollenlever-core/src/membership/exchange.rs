use std::net::SocketAddr;

use crate::id::NodeId;

/// What a message that waits for its reply was sent for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Exchange {
    /// Changes or a heartbeat over a link.
    Push { to: NodeId, entries: Vec<SocketAddr> },
    /// Anything whose failure has no consequence.
    Notice,
    /// A probe on behalf of another member.
    ProbeFor { node: NodeId, requester: NodeId },
    /// A comparison of digests; `rounds` counts those that went before.
    Sync { to: NodeId, rounds: u32 },
}
