use serde::Serialize;

/// On how many nodes of one region a change has taken effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RegionPropagation {
    /// Number of nodes in the region.
    pub nodes: usize,
    /// Number of nodes that have the change.
    pub done: usize,
    /// HTTP addresses of the nodes that did not answer the last query.
    pub unreachable: Vec<String>,
    /// Milliseconds from the start of the wait until all nodes had the change; `None` while some
    /// lack it.
    pub done_ms: Option<u128>,
}
