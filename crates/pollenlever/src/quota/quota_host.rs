use std::sync::Arc;

use pollenlever_core::id::NodeId;

use super::Quota;

/// The node of which quotas are a part.
pub(crate) trait QuotaHost: Send + Sync {
    /// The state of quotas on this node.
    fn quota(&self) -> &Arc<Quota>;

    /// Members that answer and are not about to leave, including this node unless it leaves.
    fn staying_members(&self) -> Vec<NodeId>;

    /// Whether this node is one of those that create the share table if there is none.
    fn may_create_shares(&self) -> bool;

    /// Number of shards for a new share table.
    fn shards_for_new_table(&self) -> u32;

    /// Records a call to the store.
    fn record_store_call(&self, is_success: bool);
}

/// Shared [`QuotaHost`].
pub(crate) type SharedQuotaHost = Arc<dyn QuotaHost>;
