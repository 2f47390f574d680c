use xxhash_rust::xxh3::xxh3_64;

use super::ShardIndex;
use crate::id::WorkspaceName;

/// Shard of a workspace among `shards`; the same on all nodes.
///
/// ```
/// use pollenlever_core::quota::shard_of;
/// assert!(shard_of(&"padova".into(), 8) < 8);
/// assert_eq!(shard_of(&"padova".into(), 1), 0);
/// ```
pub fn shard_of(workspace: &WorkspaceName, shards: u32) -> ShardIndex {
    (xxh3_64(workspace.as_bytes()) % u64::from(shards.max(1))) as ShardIndex
}
