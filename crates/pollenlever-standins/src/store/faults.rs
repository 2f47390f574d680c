use rocket::serde::{Deserialize, Serialize};

/// Faults in force; `POST /v1/faults` replaces all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde", default, deny_unknown_fields)]
pub struct Faults {
    /// Each call is answered 503 and waiting watches end.
    pub down: bool,
    /// Milliseconds by which each call is delayed.
    pub slow_ms: u64,
    /// Number of coming updates that take effect while their answer is lost.
    pub lose_answers: u32,
    /// Every other read is answered as of the moment at which this fault was set.
    pub stale_reads: bool,
    /// Reads, lists and watches a second; 0 for no limit.
    pub reads_per_s: u32,
    /// Updates a second; 0 for no limit.
    pub writes_per_s: u32,
}
