use std::time::Duration;

use crate::answer::ErrorKind;
use crate::config::Importance;
use crate::id::{ChainId, NodeId, ServiceName};

/// An attempt that needs a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Importance of the chain.
    pub importance: Importance,
    /// Chain of the request.
    pub chain: ChainId,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// Bytes of the request's body.
    pub bytes: u64,
    /// Nodes that earlier attempts of the request went to.
    pub tried: &'a [NodeId],
}

impl RouteRequest<'_> {
    /// Whether refusing the request costs more than bytes between regions: it is among the most
    /// important, or admitted work depends on it.
    pub fn is_urgent(&self) -> bool {
        self.depth > 0 || self.importance == Importance::Critical
    }
}

/// Why no target can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoute {
    /// Why.
    pub error: ErrorKind,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}
