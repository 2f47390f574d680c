use std::net::SocketAddr;

use crate::id::NodeId;
use crate::membership::{address_hash, highest_scores};

/// Number of nodes that are asked to keep the departures of one node. A restarted node asks them all, so that
/// its start costs the same in a large deployment.
const MAX_CANDIDATES: usize = 8;
/// Seed for choosing them.
const KEEPERS_SEED: u64 = 0x6b65_6570_6572;

/// The nodes of `possible` that may keep the departures of the target beside the node at `addr`: the same for
/// each of its processes, and others for another node.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// use pollenlever_core::mesh::keeper_candidates;
/// let nodes: Vec<NodeId> =
///     (1..40).map(|port| format!("127.0.0.1:{port}@1").parse().unwrap()).collect();
/// let candidates = keeper_candidates("127.0.0.1:7101".parse().unwrap(), &nodes);
/// assert_eq!(candidates.len(), 8);
/// assert_ne!(candidates, keeper_candidates("127.0.0.1:7102".parse().unwrap(), &nodes));
/// ```
pub fn keeper_candidates(addr: SocketAddr, possible: &[NodeId]) -> Vec<NodeId> {
    let seed = address_hash(addr, KEEPERS_SEED);
    highest_scores(possible.iter().copied(), seed, MAX_CANDIDATES)
}
