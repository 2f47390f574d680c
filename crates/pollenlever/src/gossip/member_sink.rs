use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;

/// Receives changes of the members from the gossip protocol.
pub(crate) trait MemberSink: Send + Sync {
    /// Handles members that are new or have changed; this node may be among them. Returns `false`
    /// if the receiver has ended.
    fn update(&self, members: Vec<Member>) -> bool;

    /// Handles the removal of a node process. Returns `false` if the receiver has ended.
    fn remove(&self, node: NodeId) -> bool;
}
