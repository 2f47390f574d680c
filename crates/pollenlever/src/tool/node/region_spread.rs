use serde::Serialize;

/// How far a change has spread over the nodes of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RegionSpread {
    /// Nodes in the region.
    pub nodes: usize,
    /// Nodes that have the change.
    pub done: usize,
    /// Nodes that did not answer.
    pub unreachable: Vec<String>,
    /// Time until the last node had it, if all have.
    pub done_ms: Option<u128>,
}
