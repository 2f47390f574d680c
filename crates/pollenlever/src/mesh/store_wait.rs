use std::time::Duration;

/// Wait after the first failed call to the store; doubles with each further one.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest wait between two calls.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Waits between calls to a store that fails.
#[derive(Debug)]
pub(super) struct StoreWait {
    next: Duration,
}

impl StoreWait {
    /// Waits before the next call, longer each time.
    pub(super) async fn pause(&mut self) {
        let spread = rand::random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(spread)).await;
        self.next = (self.next * 2).min(MAX_WAIT);
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.next > MIN_WAIT
    }

    /// Notes that a call succeeded. Returns whether the one before had failed.
    pub(super) fn reset(&mut self) -> bool {
        let had_failed = self.is_failing();
        self.next = MIN_WAIT;
        had_failed
    }
}

impl Default for StoreWait {
    fn default() -> StoreWait {
        StoreWait { next: MIN_WAIT }
    }
}
