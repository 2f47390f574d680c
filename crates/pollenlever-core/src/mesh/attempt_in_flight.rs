use crate::id::{AttemptId, NodeId};

/// An attempt that was sent and whose outcome is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptInFlight {
    /// The attempt.
    pub id: AttemptId,
    /// Node of the gate to which it was sent.
    pub gate: NodeId,
}
