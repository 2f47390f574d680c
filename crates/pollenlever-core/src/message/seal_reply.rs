use bincode::{Decode, Encode};

use crate::answer::Answer;

/// Reply of a gate that was asked to seal an attempt, that is, to record that it must never run.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SealReply {
    /// The attempt has not run and will never run.
    Sealed,
    /// The target is running the attempt.
    Running,
    /// The attempt ended with this answer; its body is sent separately.
    Ended(Answer),
    /// The attempt was sent to the target, but its answer was lost.
    Unknown,
}
