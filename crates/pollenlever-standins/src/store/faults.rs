use rocket::serde::{Deserialize, Serialize};

/// Injected faults; `POST /v1/faults` replaces all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde", default, deny_unknown_fields)]
pub struct Faults {
    /// Each call is answered with 503, waiting watches too.
    pub down: bool,
    /// Milliseconds by which each call is delayed.
    pub slow_ms: u64,
    /// Number of further updates that succeed but whose answer is lost.
    pub lose_answers: u32,
    /// Every other read is answered with the state at the time when this fault was set.
    pub stale_reads: bool,
    /// Limit of reads, lists and watches per second; 0 for no limit.
    pub reads_per_s: u32,
    /// Limit of updates per second; 0 for no limit.
    pub writes_per_s: u32,
}
