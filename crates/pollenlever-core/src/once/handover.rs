use std::time::Duration;

use bincode::{Decode, Encode};

use super::HandoverRecord;
use crate::id::{NodeId, ServiceName};

/// One part of the records that a leaving home transfers to its successor.
///
/// The bodies of the answers are concatenated, in the order of the records, in the body of the
/// message.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Handover {
    /// The leaving home.
    pub home: NodeId,
    /// Number of this part, from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Time on the home's monotonic clock when the part was made.
    pub clock: Duration,
    /// Secret with which the home verifies its keys.
    pub secret: u64,
    /// Records of ended requests.
    pub records: Vec<HandoverRecord>,
    /// Latest creation time of the keys whose records were dropped, in milliseconds on the home's
    /// clock, by service.
    pub watermarks_ms: Vec<(ServiceName, u64)>,
}
