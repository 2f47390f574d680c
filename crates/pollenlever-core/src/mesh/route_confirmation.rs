use std::time::Duration;

use bincode::{Decode, Encode};

use super::RouteVersion;

/// What a node tells others about its routes: that they were the newest ones in the store, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct RouteConfirmation {
    /// Version of the routes.
    pub version: RouteVersion,
    /// Time since the store held no newer ones.
    pub age: Duration,
    /// Era of the store, which grows each time that the store comes back from an older copy.
    pub store_era: u64,
}
