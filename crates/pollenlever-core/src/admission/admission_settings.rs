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
    /// Algorithm that learns the concurrency limit.
    pub limit: LimitKind,
    /// Order of requests with the same importance, depth and workspace while the gate is overloaded.
    pub order: OrderKind,
    /// Maximum number of waiting requests.
    pub max_queue: usize,
    /// Longest wait of a new chain's request while the queue is standing; half the mean service
    /// time if that is longer.
    pub queue_delay: Duration,
    /// A queue is standing (not just absorbing a burst) once its delay has stayed above half of
    /// the longest wait for this long.
    pub queue_interval: Duration,
    /// Decay time of the counts of runs by workspace and of shed requests.
    pub decay_time: Duration,
    /// Lower bound of the retry delay sent to a caller whose request was shed.
    pub min_retry_after: Duration,
    /// Upper bound of the retry delay sent to a caller whose request was shed.
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
            decay_time: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
        }
    }
}
