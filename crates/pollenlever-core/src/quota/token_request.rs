use bincode::{Decode, Encode};

use super::ReturnedTokens;
use crate::id::WorkspaceName;

/// Request of a node to the home of a workspace's shard for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct TokenRequest {
    /// Number of the token request among those of this node; the grant repeats it.
    pub number: u64,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of requests that wait for a token.
    pub wanted: u32,
    /// Number of further tokens that the node expects to use.
    pub prefetch: u32,
    /// Tokens of an earlier grant that the node will not use.
    pub returned: Option<ReturnedTokens>,
}
