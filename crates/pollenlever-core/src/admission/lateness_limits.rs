use crate::Timestamp;

/// When a waiting request of a class is late.
#[derive(Debug, Clone, Copy)]
pub(super) struct LatenessLimits {
    /// Requests with a deadline before this time can no longer be answered in time.
    pub(super) deadline: Timestamp,
    /// Requests that arrived before this time have waited for too long; `None` if they may wait until
    /// their deadline.
    pub(super) arrival: Option<Timestamp>,
}
