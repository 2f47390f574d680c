use thiserror::Error;

/// A node that did not answer as expected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the node {node} did not answer: {reason}")]
pub struct NodeError {
    /// HTTP address of the node.
    pub node: String,
    /// What went wrong.
    pub reason: String,
}
