use std::time::Duration;

use bincode::{Decode, Encode};

use crate::answer::ErrorKind;

/// Outcome of one attempt to run a request, as far as the owner of the request knows.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum AttemptOutcome {
    /// The target answered completely, with this HTTP status.
    Answered(u16),
    /// The target answered completely with this failure status, most likely because services
    /// downstream are overloaded. Another target would fail as well.
    FailedDownstream(u16),
    /// The target reported that it did not run the request.
    RejectedByTarget,
    /// The gate did not hand the request to its target and never will.
    RefusedByGate {
        /// Reason of the refusal.
        error: ErrorKind,
        /// Time after which the caller may retry, if known.
        retry_after: Option<Duration>,
    },
    /// Nothing of the request left this node.
    NotSent,
    /// The request may have run; the connection to the target or to its gate failed.
    Unknown,
}
