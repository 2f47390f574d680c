use super::{ShardIndex, ShareUnits};

/// A shard at its home, for metrics and the tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeShard {
    /// The shard.
    pub shard: ShardIndex,
    /// Units that are delegated now.
    pub units: ShareUnits,
    /// Number of holders that delegate them.
    pub holders: usize,
    /// Number of workspaces with a quota in this shard.
    pub workspaces: usize,
}
