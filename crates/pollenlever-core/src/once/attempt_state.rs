use bytes::Bytes;

use crate::answer::{Answer, ErrorKind};

/// State of an attempt at its gate.
#[derive(Debug, Clone)]
pub(crate) enum AttemptState {
    /// Waiting for a slot.
    Waiting,
    /// Did not run and never will; refused with this error.
    Sealed(ErrorKind),
    /// Running on the target.
    Running,
    /// Ended with this answer.
    Ended(Answer, Bytes),
    /// May have run; its answer is not stored.
    Unknown,
}

impl AttemptState {
    /// Whether the attempt is waiting or running.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self, AttemptState::Waiting | AttemptState::Running)
    }
}
