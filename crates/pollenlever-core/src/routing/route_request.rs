use std::time::Duration;

use crate::answer::ErrorKind;
use crate::config::Importance;
use crate::id::{ChainId, NodeId, ServiceName};

/// Description of an attempt for which a target is chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Importance of the chain; the least important requests are shed first.
    pub importance: Importance,
    /// Chain of calls to which the request belongs.
    pub chain: ChainId,
    /// Number of calls above this one in the chain; 0 for a new chain.
    pub depth: u8,
    /// Length of the request's body in bytes.
    pub bytes: u64,
    /// Nodes to which earlier attempts of the request were sent.
    pub tried: &'a [NodeId],
}

impl RouteRequest<'_> {
    /// Whether refusing the request is worse than sending it to a busy target in another region: it
    /// is of high or critical importance, or the work already done for its chain would be wasted.
    pub fn is_urgent(&self) -> bool {
        self.depth > 0 || self.importance >= Importance::High
    }
}

/// Reason why no target was chosen, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoute {
    /// Reason sent to the caller.
    pub error: ErrorKind,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}
