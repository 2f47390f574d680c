use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Part of the idle time at which a connection was found dead that others may still reach.
const SAFE_PART: f64 = 0.7;
/// Time for which that is remembered.
const MEMORY: Duration = Duration::from_secs(30);

/// Learns for how long a target keeps connections that are not used, where it drops them sooner
/// than it says.
#[derive(Debug, Default)]
pub(super) struct IdleLimit {
    learned: Mutex<Option<(Duration, Instant)>>,
}

impl IdleLimit {
    /// Longest idle time after which a connection is used again.
    pub(super) fn get(&self) -> Duration {
        let learned = self.lock().filter(|(_, at)| at.elapsed() < MEMORY);
        learned.map_or(Duration::MAX, |(limit, _)| limit)
    }

    /// Notes that a connection was dead when it was used after an idle time.
    pub(super) fn note_dead(&self, idle: Duration) {
        let limit = idle.mul_f64(SAFE_PART).min(self.get());
        *self.lock() = Some((limit, Instant::now()));
    }

    fn lock(&self) -> MutexGuard<'_, Option<(Duration, Instant)>> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
