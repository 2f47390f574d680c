use bytes::Bytes;

use crate::id::ServiceName;

/// What the target beside a node says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNotice {
    /// The target is ready to serve.
    Announce {
        /// Service to which the target belongs.
        service: ServiceName,
        /// Requests that it runs at once, if it says so.
        slots: Option<u32>,
        /// Whether its caches are cold.
        cold: bool,
    },
    /// The target's own view of its load; it may lag or mislead.
    Load {
        /// Requests that it runs.
        in_flight: u32,
        /// Whether it calls itself healthy.
        healthy: bool,
    },
    /// The target is leaving and wants no new work.
    Leaving,
    /// The target's process is gone.
    Gone,
}

/// How a run on the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The whole answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
        /// Whole body.
        body: Bytes,
    },
    /// No byte of the request reached the target.
    Unreachable,
    /// The connection ended before an answer began.
    Crashed,
    /// The answer began and was cut.
    Cut,
    /// The answer is over the limit for bodies.
    TooLarge,
    /// No answer within the time left.
    TimedOut,
}
