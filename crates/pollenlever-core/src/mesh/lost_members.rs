use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::id::NodeId;
use crate::membership::highest_scores;

/// Time for which a member must not have answered before what the store holds of it is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Additional time for each node that comes before this one in the order of removers, so that
/// mostly one node calls the store.
const STAGGER: Duration = Duration::from_secs(4);
/// Nodes that take turns as removers of one member.
const REMOVERS: usize = 4;
/// Members that must answer for each one that does not, so that a node trusts its own view.
const MIN_ANSWERING: usize = 2;

/// Members that do not answer.
#[derive(Debug, Default)]
pub struct LostMembers {
    members: BTreeMap<SocketAddr, (NodeId, Timestamp)>,
}

impl LostMembers {
    /// Notes that a member does not answer since now.
    pub fn insert(&mut self, now: Timestamp, node: NodeId) {
        self.members.insert(node.addr, (node, now));
    }

    /// Forgets whichever process has the address: it answers.
    pub fn found(&mut self, addr: SocketAddr) {
        self.members.remove(&addr);
    }

    /// Forgets one process: it is gone for good.
    pub fn forget(&mut self, node: NodeId) {
        self.members.retain(|_, (lost, _)| *lost != node);
    }

    /// Whether the process at an address does not answer.
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

    /// Members of which it is now the turn of `me` to remove what the store holds. None while so
    /// many members do not answer that it may be `me` that is cut off.
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
    ///     let due = |me: &&NodeId| !lost.due(Duration::from_secs(s), **me, &answering).is_empty();
    ///     answering.iter().filter(due).count()
    /// };
    /// assert_eq!((removers(9), removers(10), removers(18)), (0, 1, 3));
    /// ```
    pub fn due(&self, now: Timestamp, me: NodeId, answering: &[NodeId]) -> Vec<NodeId> {
        if self.members.len() * MIN_ANSWERING > answering.len() {
            return Vec::new();
        }
        let is_due = |(node, since): &&(NodeId, Timestamp)| {
            let removers = highest_scores(answering.iter().copied(), node.incarnation, REMOVERS);
            let turn = removers.iter().position(|it| *it == me);
            turn.is_some_and(|it| *since + REMOVE_AFTER + STAGGER * it as u32 <= now)
        };
        self.members.values().filter(is_due).map(|(node, _)| *node).collect()
    }
}
