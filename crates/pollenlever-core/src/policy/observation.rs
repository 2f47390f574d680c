use std::time::Duration;

use crate::answer::ErrorKind;
use crate::id::{CustomerId, KindName, ServiceName};

/// A call that ended at its entry, for metrics and the burn report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Service that was called.
    pub service: ServiceName,
    /// Kind of request.
    pub kind: KindName,
    /// Customer on whose behalf the call was made.
    pub customer: CustomerId,
    /// HTTP status of the answer.
    pub status: u16,
    /// Why there was no answer from a target.
    pub error: Option<ErrorKind>,
    /// Time from arrival to answer.
    pub latency: Duration,
    /// Whether the whole answer came within the deadline.
    pub good: bool,
}
