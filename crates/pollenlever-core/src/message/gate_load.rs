use std::time::Duration;

use bincode::{Decode, Encode};

use crate::config::Importance;

/// Load of a gate (the node beside a target), sent with each of its replies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct GateLoad {
    /// Number of requests that the target is running.
    pub in_flight: u32,
    /// Number of requests in the gate's queue.
    pub queued: u32,
    /// Concurrency limit of the gate.
    pub limit: u32,
    /// Requests of lower importance than this are shed at once.
    pub shed_below: Importance,
    /// Time in which the gate's queue drains.
    pub queue_drain_time: Duration,
    /// Time until the rate limit that the target states allows the next request; zero if it allows
    /// one now.
    pub rate_limit_wait: Duration,
    /// Share of its usual load that a started target takes, in thousandths; 1000 once it has shown its
    /// full pace, 0 if the gate does not determine one.
    pub start_share_permille: u16,
    /// Whether the target accepts no new requests, for example because it is shutting down.
    pub leaving: bool,
    /// Number of target crashes that the gate has counted for the request of this reply.
    pub crashes: u32,
    /// Thousandths of recent runs that the target rejected or failed.
    pub failing_permille: u16,
    /// Thousandths of recent calls made by the target that failed because services further down
    /// the chain are overloaded.
    pub overload_failure_permille: u16,
    /// Mean number of calls per run in hundredths, including calls made by the called services.
    pub calls_per_100_runs: u16,
    /// Thousandths of the runs of this reply's class of requests that are expected to fail because
    /// services further down do not answer their calls.
    pub expected_failure_permille: u16,
    /// Share of the chains of the importance of this reply's request for which the gate and the services
    /// further down have room, in thousandths; 0 if the gate does not determine it.
    pub admitted_permille: u16,
    /// How long work takes on the target's VM at present, in percent of the usual time, as the
    /// target reports it: 0 if it has reported nothing recently, else at least 100.
    pub slowdown_percent: u16,
}
