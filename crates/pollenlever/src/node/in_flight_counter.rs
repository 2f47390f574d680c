use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Interval at which [`InFlightCounter::wait_idle`] checks the count.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts work in flight, such as replies that are not yet written. Clones share one count.
///
/// ```
/// use std::time::Duration;
/// let work = pollenlever::node::InFlightCounter::default();
/// let guard = work.start();
/// assert!(!work.wait_idle(Duration::ZERO));
/// drop(guard);
/// assert!(work.wait_idle(Duration::ZERO));
/// ```
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    in_flight: Arc<AtomicUsize>,
}

/// One unit of work in flight; ends it when dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts a unit of work as in flight until the guard is dropped.
    pub fn start(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { in_flight: Arc::clone(&self.in_flight) }
    }

    /// Units of work in flight.
    pub fn count(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether no work is in flight.
    pub fn is_idle(&self) -> bool {
        self.count() == 0
    }

    /// Blocks the thread until no work is in flight. Returns `false` if that takes longer than
    /// `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while !self.is_idle() {
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(IDLE_POLL_INTERVAL);
        }
        true
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
