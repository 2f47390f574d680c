use super::GrantId;
use crate::Timestamp;
use crate::id::WorkspaceName;

/// A token that a request has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenPermit {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The grant from which it comes.
    pub grant: GrantId,
    /// Time from which the token may not be used any more.
    pub expires: Timestamp,
}
