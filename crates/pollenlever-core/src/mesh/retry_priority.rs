use crate::config::Importance;

/// Rank of a request in the claim on retries; the greater one is served first.
///
/// A more important chain goes first. Within one importance, a call goes before the first request
/// of a chain: failing it wastes the work already done for its chain, while a caller can send a
/// refused first request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryPriority {
    /// Importance of the chain.
    pub importance: Importance,
    /// Whether a target makes the request while it runs another one.
    pub is_call: bool,
}
