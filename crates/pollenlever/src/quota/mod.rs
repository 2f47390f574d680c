//! Quotas of workspaces on a node: the share table in the platform's store, the delegation of this
//! node's units, tokens for the requests of this node, and the grants of this node as a home.

mod delegator;
mod hand_back;
mod home_map;
mod known_table;
mod quota;
mod quota_metrics;
mod quota_node;
mod quota_refusal;
mod quota_status;
mod share_keeper;
mod share_table_object;
mod share_table_store;
mod share_write;
mod token_client;
mod token_guard;
mod token_queue;

#[cfg(test)]
mod tests;

pub(crate) use delegator::Delegator;
pub(crate) use quota::Quota;
pub(crate) use quota_metrics::QuotaMetrics;
pub(crate) use quota_node::{QuotaMember, QuotaNode, SharedQuotaNode};
pub(crate) use quota_refusal::QuotaRefusal;
pub use quota_status::{BucketStatus, QuotaStatus, ShardStatus};
pub(crate) use share_keeper::ShareKeeper;
pub(crate) use token_guard::TokenGuard;

use std::net::SocketAddr;
use std::time::Duration;

use pollenlever_core::id::NodeName;

/// Time after which callers may come back while the quota of their workspace cannot be determined.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Name under which the node at a peer address holds units. The address identifies a node to all
/// others, and a restarted node keeps it.
fn node_name(addr: SocketAddr) -> NodeName {
    addr.to_string().into()
}
