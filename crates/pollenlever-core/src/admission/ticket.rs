use std::time::Duration;

use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::Importance;
use crate::id::{ChainId, CustomerId, ServiceName, StreamId};

/// A request that asks to run on the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The stream on which the request waits.
    pub id: StreamId,
    /// Service of the request.
    pub service: ServiceName,
    /// Importance of the chain.
    pub importance: Importance,
    /// Chain of the request.
    pub chain: ChainId,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Time at which the caller gives up.
    pub deadline: Timestamp,
}

/// What admission decides about a ticket, now or later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Hand the request to the target now; it holds a slot until it is finished.
    Run(StreamId),
    /// Refuse the request, which has not run.
    Shed {
        /// The request.
        id: StreamId,
        /// Why.
        error: ErrorKind,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// How a run ended, as far as admission cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Answered,
    /// The target shed the request itself.
    ShedByTarget,
    /// The target failed or timed out.
    Failed,
    /// The caller gave up while the request ran.
    Cancelled,
}
