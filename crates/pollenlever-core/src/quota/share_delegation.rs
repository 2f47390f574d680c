use bincode::{Decode, Encode};

use super::DelegatedShard;
use crate::id::{Incarnation, NodeName};

/// Delegates the units of a holder to a home, renews or withdraws them.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ShareDelegation {
    /// Node that holds the units.
    pub holder: NodeName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of this message among all delegations of this process. A home ignores a message
    /// whose number is not above that of the last one that it took for the shard.
    pub sequence: u64,
    /// Number of shards in the share table, for a home that has not read the table.
    pub shard_count: u32,
    /// Units by shard; shards that are not listed keep theirs.
    pub shards: Vec<DelegatedShard>,
}
