use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Fraction of the idle time of a connection found dead up to which other connections are still
/// considered alive.
const SAFE_IDLE_FRACTION: f64 = 0.7;
/// Time for which a learned limit is used.
const LEARNED_LIMIT_TTL: Duration = Duration::from_secs(30);

/// Learns how long a target keeps idle connections open, for targets that close them sooner than
/// they announce.
#[derive(Debug, Default)]
pub(super) struct IdleLimit {
    learned: Mutex<Option<(Duration, Instant)>>,
}

impl IdleLimit {
    /// Longest idle time after which a connection may be reused; [`Duration::MAX`] if no limit was
    /// learned recently.
    pub(super) fn get(&self) -> Duration {
        let learned = self.lock().filter(|(_, at)| at.elapsed() < LEARNED_LIMIT_TTL);
        learned.map_or(Duration::MAX, |(limit, _)| limit)
    }

    /// Records that a connection was found dead when it was reused after `idle`.
    pub(super) fn record_dead_connection(&self, idle: Duration) {
        let limit = idle.mul_f64(SAFE_IDLE_FRACTION).min(self.get());
        *self.lock() = Some((limit, Instant::now()));
    }

    fn lock(&self) -> MutexGuard<'_, Option<(Duration, Instant)>> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
