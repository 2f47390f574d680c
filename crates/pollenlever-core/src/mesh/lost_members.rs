use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::id::NodeId;
use crate::membership::highest_scores;

/// Time without an answer after which a member's data is removed from the store.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Additional delay for each node that precedes this one in the order of removers, so that usually
/// only one node calls the store.
const DELAY_PER_REMOVER: Duration = Duration::from_secs(4);
/// Number of nodes that may remove the data of one member.
const MAX_REMOVERS: usize = 4;
/// Minimum number of answering members per lost one. With fewer, a node assumes that it is cut off
/// itself and removes nothing.
const MIN_ANSWERING_PER_LOST: usize = 2;

/// Members that do not answer, each with the time since when.
#[derive(Debug, Default)]
pub struct LostMembers {
    members: BTreeMap<SocketAddr, (NodeId, Timestamp)>,
}

impl LostMembers {
    /// Records that a member does not answer, beginning at `now`.
    pub fn insert(&mut self, now: Timestamp, node: NodeId) {
        self.members.insert(node.addr, (node, now));
    }

    /// Records that the process at an address answers, whatever its incarnation.
    pub fn record_answer(&mut self, addr: SocketAddr) {
        self.members.remove(&addr);
    }

    /// Forgets a process that is permanently gone.
    pub fn forget(&mut self, node: NodeId) {
        self.members.retain(|_, (lost, _)| *lost != node);
    }

    /// Whether the process at an address is recorded as not answering.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.members.contains_key(&addr)
    }

    /// Number of members that do not answer.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether all members answer.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members whose data `me` should now remove from the store. Empty while so many members do not
    /// answer that `me` itself may be cut off.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::id::NodeId;
    /// use pollenlever_core::mesh::LostMembers;
    /// let node = |port| format!("127.0.0.1:{port}@1").parse::<NodeId>().unwrap();
    /// let answering = [node(1), node(2), node(3)];
    /// let mut lost = LostMembers::default();
    /// lost.insert(Duration::ZERO, node(9));
    /// let removers = |s| {
    ///     let now = Duration::from_secs(s);
    ///     let due = |me: &&NodeId| !lost.due_removals(now, **me, &answering).is_empty();
    ///     answering.iter().filter(due).count()
    /// };
    /// assert_eq!((removers(9), removers(10), removers(18)), (0, 1, 3));
    /// ```
    pub fn due_removals(&self, now: Timestamp, me: NodeId, answering: &[NodeId]) -> Vec<NodeId> {
        if self.members.len() * MIN_ANSWERING_PER_LOST > answering.len() {
            return Vec::new();
        }
        let is_due = |(node, since): &&(NodeId, Timestamp)| {
            let removers =
                highest_scores(answering.iter().copied(), node.incarnation, MAX_REMOVERS);
            let rank = removers.iter().position(|it| *it == me);
            rank.is_some_and(|it| *since + REMOVE_AFTER + DELAY_PER_REMOVER * it as u32 <= now)
        };
        self.members.values().filter(is_due).map(|(node, _)| *node).collect()
    }
}
