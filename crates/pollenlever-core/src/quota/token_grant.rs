use std::time::Duration;

use bincode::{Decode, Encode};

use super::GrantId;
use crate::id::WorkspaceName;

/// A home's reply to a token request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct TokenGrant {
    /// Number of the token request.
    pub number: u64,
    /// The grant.
    pub id: GrantId,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of granted tokens, up to what was wanted and prefetched.
    pub tokens: u32,
    /// Time for which the node must refuse requests without asking again, once it has used the
    /// tokens. Not zero if not all waiting requests got a token, or none is left for the next.
    pub retry_after: Duration,
    /// Time in which the workspace gains one token.
    pub refill: Duration,
    /// Whether the home has too few units to tell if the workspace is over its quota.
    pub is_unavailable: bool,
}
