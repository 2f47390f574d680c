use std::time::Duration;

use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::Importance;
use crate::id::{ChainId, ServiceName, StreamId, WorkspaceName};

/// A request waiting for admission to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Local number of the request on this node.
    pub id: StreamId,
    /// Service that is called.
    pub service: ServiceName,
    /// Importance of the chain; the least important requests are shed first.
    pub importance: Importance,
    /// Chain of calls to which the request belongs.
    pub chain: ChainId,
    /// Number of calls above this one in the chain; 0 for a new chain.
    pub depth: u8,
    /// Workspace on whose behalf the call is made.
    pub workspace: WorkspaceName,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
}

/// Decision about a request, made when its ticket is offered or while it waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Run the request on the target now; it occupies a slot until `Admission::record_finished`.
    Run(StreamId),
    /// Refuse the request without running it.
    Shed {
        /// Number of the request, as in its ticket.
        id: StreamId,
        /// Reason sent to the caller.
        error: ErrorKind,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// How a run ended, as seen by admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Answered,
    /// The target itself refused the request because of load.
    ShedByTarget,
    /// The target failed or timed out.
    Failed,
    /// The caller cancelled the request while it ran.
    Cancelled,
}
