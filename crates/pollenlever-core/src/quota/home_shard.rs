use super::{ShardIndex, ShareUnits};
use crate::id::NodeName;

/// A shard at its home, for metrics and the tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeShard {
    /// The shard.
    pub shard: ShardIndex,
    /// Units that are delegated now.
    pub units: ShareUnits,
    /// The holders that delegate them and the units of each, by name.
    pub holders: Vec<(NodeName, ShareUnits)>,
    /// Number of workspaces with a quota in this shard.
    pub workspaces: usize,
}
