use std::time::Duration;

use bincode::{Decode, Encode};
use pollenlever_core::config::Importance;
use pollenlever_core::message::GateLoad as Current;

/// Load of a gate; without the share of the chains that it has room for.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) struct GateLoad {
    in_flight: u32,
    queued: u32,
    limit: u32,
    shed_below: Importance,
    queue_drain_time: Duration,
    rate_limit_wait: Duration,
    start_share_permille: u16,
    leaving: bool,
    crashes: u32,
    failing_permille: u16,
    overload_failure_permille: u16,
    calls_per_100_runs: u16,
    expected_failure_permille: u16,
    slowdown_percent: u16,
}

impl From<Current> for GateLoad {
    fn from(it: Current) -> GateLoad {
        GateLoad {
            in_flight: it.in_flight,
            queued: it.queued,
            limit: it.limit,
            shed_below: it.shed_below,
            queue_drain_time: it.queue_drain_time,
            rate_limit_wait: it.rate_limit_wait,
            start_share_permille: it.start_share_permille,
            leaving: it.leaving,
            crashes: it.crashes,
            failing_permille: it.failing_permille,
            overload_failure_permille: it.overload_failure_permille,
            calls_per_100_runs: it.calls_per_100_runs,
            expected_failure_permille: it.expected_failure_permille,
            slowdown_percent: it.slowdown_percent,
        }
    }
}

impl From<GateLoad> for Current {
    fn from(it: GateLoad) -> Current {
        Current {
            in_flight: it.in_flight,
            queued: it.queued,
            limit: it.limit,
            shed_below: it.shed_below,
            queue_drain_time: it.queue_drain_time,
            rate_limit_wait: it.rate_limit_wait,
            start_share_permille: it.start_share_permille,
            leaving: it.leaving,
            crashes: it.crashes,
            failing_permille: it.failing_permille,
            overload_failure_permille: it.overload_failure_permille,
            calls_per_100_runs: it.calls_per_100_runs,
            expected_failure_permille: it.expected_failure_permille,
            admitted_permille: 0,
            slowdown_percent: it.slowdown_percent,
        }
    }
}
