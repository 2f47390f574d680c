use thiserror::Error;

/// A request to a node failed: there was no answer, or not the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the node {node} did not answer: {reason}")]
pub struct NodeRequestError {
    /// HTTP address of the node, as `IP:PORT`.
    pub node: String,
    /// Cause of the failure.
    pub reason: String,
}
