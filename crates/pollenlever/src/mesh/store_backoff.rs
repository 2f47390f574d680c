use std::time::Duration;

/// Wait after the first failed call to the store; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait before objects are listed anew after a watch failed for want of history. The wait
/// is random, as all nodes lose the history at the same time.
const MAX_RELIST_JITTER: Duration = Duration::from_millis(200);

/// Exponential backoff between calls to a store that fails.
#[derive(Debug)]
pub(crate) struct StoreBackoff {
    next: Duration,
    max: Duration,
}

impl StoreBackoff {
    /// Creates a backoff that grows up to `max`, plus or minus half of it at random.
    pub(crate) fn new(max: Duration) -> StoreBackoff {
        StoreBackoff { next: INITIAL_BACKOFF, max }
    }

    /// Waits before the next call, longer each time.
    pub(crate) async fn pause(&mut self) {
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.record_failure();
    }

    /// Records a failed call after which the caller does not wait here.
    pub(crate) fn record_failure(&mut self) {
        self.next = (self.next * 2).min(self.max);
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.next > INITIAL_BACKOFF
    }

    /// Records that a call succeeded. Returns whether the one before had failed.
    pub(crate) fn reset(&mut self) -> bool {
        let had_failed = self.is_failing();
        self.next = INITIAL_BACKOFF;
        had_failed
    }
}

/// Waits before the objects of a kind are listed anew.
pub(super) async fn wait_before_relist() {
    tokio::time::sleep(MAX_RELIST_JITTER.mul_f64(rand::random_range(0.0..1.0))).await;
}
