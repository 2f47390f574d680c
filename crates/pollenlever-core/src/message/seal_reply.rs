use bincode::{Decode, Encode};

use crate::answer::Answer;

/// What a gate says about an attempt that its sender asks it to seal.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum SealReply {
    /// The attempt did not run and never will.
    Sealed,
    /// The target runs the attempt now.
    Running,
    /// The attempt ended with this answer; its body travels beside it.
    Ended(Answer),
    /// The attempt was handed to the target and its answer was lost.
    Lost,
}
