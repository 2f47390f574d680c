use bytes::Bytes;

use crate::answer::{Answer, ErrorKind};

/// What became of an attempt at its gate.
#[derive(Debug, Clone)]
pub(crate) enum Fate {
    /// Waits for a slot.
    Waiting,
    /// Did not run and never will.
    Sealed(ErrorKind),
    /// Runs on the target.
    Running,
    /// Ended with this answer.
    Ended(Answer, Bytes),
    /// Was handed to the target; its answer is not kept.
    Lost,
}

impl Fate {
    /// Whether the attempt has yet to end.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self, Fate::Waiting | Fate::Running)
    }
}
