use std::time::Duration;

use super::{LimitKind, OrderKind};

/// Settings of [`PriorityAdmission`](super::PriorityAdmission).
///
/// ```
/// use pollenlever_core::admission::{AdmissionSettings, LimitKind};
/// let settings = AdmissionSettings { limit: LimitKind::Gradient, ..AdmissionSettings::default() };
/// assert_eq!(settings.max_queue, 256);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// How the concurrency limit is learned.
    pub limit: LimitKind,
    /// Order of requests of one importance, depth and customer while the gate is overloaded.
    pub order: OrderKind,
    /// Requests that wait at most.
    pub max_queue: usize,
    /// Longest wait while the queue is standing.
    pub queue_delay: Duration,
    /// Time for which the queue must not have been empty to count as standing.
    pub queue_interval: Duration,
    /// Time over which usage and sheds are remembered.
    pub memory: Duration,
    /// Shortest time after which a shed caller may come back.
    pub min_retry_after: Duration,
    /// Longest time after which a shed caller may come back.
    pub max_retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            limit: LimitKind::Concurrency,
            order: OrderKind::ChainHash,
            max_queue: 256,
            queue_delay: Duration::from_millis(20),
            queue_interval: Duration::from_millis(100),
            memory: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
        }
    }
}
