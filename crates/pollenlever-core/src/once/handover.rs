use std::time::Duration;

use bincode::{Decode, Encode};

use super::HandedRecord;
use crate::id::{NodeId, ServiceName};

/// A part of the records of a home that leaves. Answers travel beside it, one after another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Handover {
    /// The home that leaves.
    pub home: NodeId,
    /// Number of this part, from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Time by the home's monotonic clock.
    pub clock: Duration,
    /// Secret by which the home knows its own keys.
    pub secret: u64,
    /// Ended records.
    pub records: Vec<HandedRecord>,
    /// Newest minting time in milliseconds of the records that were dropped, by service.
    pub dropped_ms: Vec<(ServiceName, u64)>,
}
