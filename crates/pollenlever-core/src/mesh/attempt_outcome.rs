use std::time::Duration;

use bincode::{Decode, Encode};

use crate::answer::ErrorKind;

/// How one attempt to run a request ended, as far as its owner knows.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum AttemptOutcome {
    /// The target's whole answer, with its status.
    Answered(u16),
    /// The target's whole answer: a failure, most likely because services further down are
    /// overloaded. Another target would fail as well.
    FailedBeneath(u16),
    /// The target said that it did not run the request.
    RejectedByTarget,
    /// The gate did not hand the request to its target and never will.
    RefusedByGate {
        /// Why.
        error: ErrorKind,
        /// Time after which the caller may come back.
        retry_after: Option<Duration>,
    },
    /// Nothing of the request left this node.
    NotSent,
    /// The request may have run; the connection to the target or to its gate failed.
    Unknown,
}
