use std::time::Duration;

/// Wait after the first failed call to the store; doubles with each further one.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest wait before a list that repairs a watch; spread, as all nodes lose history together.
const RELIST_SPREAD: Duration = Duration::from_millis(200);

/// Waits between calls to a store that fails.
#[derive(Debug)]
pub(super) struct StoreWait {
    next: Duration,
    max: Duration,
}

impl StoreWait {
    /// Waits of at most about `max`.
    pub(super) fn new(max: Duration) -> StoreWait {
        StoreWait { next: MIN_WAIT, max }
    }

    /// Waits before the next call, longer each time.
    pub(super) async fn pause(&mut self) {
        let spread = rand::random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(spread)).await;
        self.next = (self.next * 2).min(self.max);
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

/// Waits before the objects of a kind are listed anew.
pub(super) async fn relist_pause() {
    tokio::time::sleep(RELIST_SPREAD.mul_f64(rand::random_range(0.0..1.0))).await;
}
