use super::ShardIndex;
use crate::id::WorkspaceName;

/// Token bucket of a workspace at its home, for metrics and the tool.
#[derive(Debug, Clone, PartialEq)]
pub struct HomeBucket {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its shard.
    pub shard: ShardIndex,
    /// Tokens that can be granted now.
    pub tokens: f64,
    /// Number of tokens granted since the start of the process.
    pub granted: u64,
    /// Number of wanted tokens that were not granted since the start of the process.
    pub refused: u64,
}
