use std::net::SocketAddr;
use std::sync::Arc;

use pollenlever_core::id::NodeId;

use super::Quota;

/// The node of which quotas are a part.
pub(crate) trait QuotaNode: Send + Sync {
    /// The state of quotas on this node.
    fn quota(&self) -> &Arc<Quota>;

    /// All members that are not gone and know quotas, including this node.
    fn members(&self) -> Vec<QuotaMember>;

    /// Whether the process at an address may know quotas; `false` if it is known not to.
    fn has_quotas(&self, addr: SocketAddr) -> bool;

    /// Records that a member does not reply.
    fn record_lost(self: Arc<Self>, node: NodeId);

    /// Whether this node is one of those that create the share table if there is none.
    fn may_create_shares(&self) -> bool;

    /// Number of shards for a new share table.
    fn shards_for_new_table(&self) -> u32;

    /// Records a call to the store.
    fn record_store_call(&self, is_success: bool);
}

/// Shared [`QuotaNode`].
pub(crate) type SharedQuotaNode = Arc<dyn QuotaNode>;

/// A member as a possible home and holder of units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaMember {
    /// The member.
    pub(crate) node: NodeId,
    /// Whether it answers this node.
    pub(crate) is_answering: bool,
    /// Whether it has announced to leave.
    pub(crate) is_leaving: bool,
}

impl QuotaMember {
    /// Whether the member can be expected to stay.
    pub(super) fn is_staying(&self) -> bool {
        self.is_answering && !self.is_leaving
    }
}
