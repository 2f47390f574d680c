use rocket::serde::{Deserialize, Serialize};

/// Calls that the store has taken since it started. Fault and counter calls are left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde", default)]
pub struct Counters {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of a kind.
    pub lists: u64,
    /// Conditional updates.
    pub puts: u64,
    /// Watches; each counts once, however long it waits.
    pub watches: u64,
    /// Updates refused because the version differed.
    pub conflicts: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Bytes of values that were sent and received.
    pub value_bytes: u64,
}

impl Counters {
    /// Calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.gets + self.lists + self.puts + self.watches
    }
}
