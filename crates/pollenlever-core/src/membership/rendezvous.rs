use super::digest::address_hash;
use crate::id::NodeId;

/// The `count` nodes with the highest scores for `seed`, highest first (rendezvous hashing).
///
/// Adding or removing a node changes the choice only if that node is or was chosen.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// use pollenlever_core::membership::highest_scores;
/// let nodes: Vec<NodeId> =
///     (1..9).map(|port| format!("127.0.0.1:{port}@1").parse().unwrap()).collect();
/// let chosen = highest_scores(nodes.iter().copied(), 7, 2);
/// let without_last = nodes.iter().copied().filter(|it| *it != chosen[1]);
/// assert_eq!(highest_scores(without_last, 7, 1), [chosen[0]]);
/// ```
pub fn highest_scores(
    nodes: impl IntoIterator<Item = NodeId>,
    seed: u64,
    count: usize,
) -> Vec<NodeId> {
    let mut chosen: Vec<(u64, NodeId)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let scored = (address_hash(node.addr, seed), node);
        if chosen.len() == count && chosen.last().is_none_or(|last| *last >= scored) {
            continue;
        }
        let at = chosen.partition_point(|it| *it > scored);
        chosen.insert(at, scored);
        chosen.truncate(count);
    }
    chosen.into_iter().map(|(_, node)| node).collect()
}

/// Number of nodes with a higher score for `seed` than `node`, which is one of them.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// use pollenlever_core::membership::{highest_scores, rank};
/// let nodes: Vec<NodeId> =
///     (1..9).map(|port| format!("127.0.0.1:{port}@1").parse().unwrap()).collect();
/// let chosen = highest_scores(nodes.iter().copied(), 7, 3);
/// assert_eq!(rank(nodes.iter().copied(), 7, chosen[2]), 2);
/// ```
pub fn rank(nodes: impl IntoIterator<Item = NodeId>, seed: u64, node: NodeId) -> usize {
    let score = |it: NodeId| (address_hash(it.addr, seed), it);
    nodes.into_iter().filter(|it| score(*it) > score(node)).count()
}
