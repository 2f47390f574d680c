use rocket::serde::{Deserialize, Serialize};

/// Calls that the store received since it started, not counting those for faults and counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde", default)]
pub struct Counters {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of a kind.
    pub lists: u64,
    /// Conditional updates.
    pub puts: u64,
    /// Watches; each counts once, no matter how long it waits.
    pub watches: u64,
    /// Updates rejected because the expected version differed.
    pub conflicts: u64,
    /// Calls rejected by the rate limits.
    pub limited: u64,
    /// Bytes of request and answer bodies that carry values.
    pub value_bytes: u64,
}

impl Counters {
    /// Number of calls of all kinds, rejected ones included.
    pub fn calls(&self) -> u64 {
        self.gets + self.lists + self.puts + self.watches
    }
}
