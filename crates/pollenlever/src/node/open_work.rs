use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time between two looks at the count.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts replies that are not yet written.
///
/// ```
/// use std::time::Duration;
/// let work = pollenlever::node::OpenWork::default();
/// let guard = work.enter();
/// assert!(!work.wait_idle(Duration::ZERO));
/// drop(guard);
/// assert!(work.wait_idle(Duration::ZERO));
/// ```
#[derive(Debug, Clone, Default)]
pub struct OpenWork {
    open: Arc<AtomicUsize>,
}

/// One reply that is not yet written.
#[derive(Debug)]
pub struct OpenWorkGuard {
    open: Arc<AtomicUsize>,
}

impl OpenWork {
    /// Counts a reply until the guard is dropped.
    pub fn enter(&self) -> OpenWorkGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenWorkGuard { open: Arc::clone(&self.open) }
    }

    /// Replies that are not yet written.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether every reply is written.
    pub fn is_idle(&self) -> bool {
        self.count() == 0
    }

    /// Waits until every reply is written. Returns whether that was so within `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while !self.is_idle() {
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

impl Drop for OpenWorkGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
