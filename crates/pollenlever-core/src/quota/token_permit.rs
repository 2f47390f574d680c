use crate::Timestamp;
use crate::id::WorkspaceName;

/// A token that a request has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenPermit {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Time from which the token may not be used any more.
    pub expires: Timestamp,
}
