use bytes::Bytes;

use crate::id::ServiceName;

/// A report of the target (back-end process) beside a node about its own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetNotice {
    /// The target is ready to serve.
    Announce {
        /// Service to which the target belongs.
        service: ServiceName,
        /// Number of requests that it runs at once, if it is given.
        slots: Option<u32>,
        /// Whether its caches are cold, so that it should receive less load at first.
        cold: bool,
    },
    /// The load that the target reports about itself, which may be late or wrong.
    Load {
        /// Number of requests that it is running.
        in_flight: u32,
        /// Whether it reports itself as healthy.
        healthy: bool,
    },
    /// The target is shutting down and accepts no new requests.
    Leaving,
    /// The target's process has ended.
    Exited,
}

/// How a run on the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The target sent a complete answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(String, String)>,
        /// Whole body.
        body: Bytes,
    },
    /// No byte of the request reached the target.
    Unreachable,
    /// The connection was closed before the answer began.
    Crashed,
    /// The answer began but ended before it was complete.
    Truncated,
    /// The body of the answer is larger than the node's limit.
    TooLarge,
    /// No answer arrived in the time left until the deadline.
    TimedOut,
}
