use bincode::{Decode, Encode};

use super::GrantId;

/// Tokens that a node returns because it will not use them. Tokens of one grant are returned at most
/// once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ReturnedTokens {
    /// The grant from which they come.
    pub grant: GrantId,
    /// Number of tokens.
    pub tokens: u32,
}
