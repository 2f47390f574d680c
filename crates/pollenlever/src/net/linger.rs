use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Time for which a connection is kept open and read after its caller's system has taken the last answer.
/// Closing it with unread bytes would reset it, and the caller could lose what it has not read.
const MAX_LINGER: Duration = Duration::from_secs(1);
/// Interval between checks of what the caller has taken.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until the caller has taken the answers that were written to its connection, and a moment longer,
/// or until it has taken nothing for `max_stall`. `unsent` returns the bytes that it has not taken; `None`
/// if that is not known, which counts as none.
pub(crate) async fn wait_until_taken(unsent: impl Fn() -> Option<usize>, max_stall: Duration) {
    let mut left = unsent().unwrap_or_default();
    let (mut last_progress, mut last_unsent) = (Instant::now(), Instant::now());
    loop {
        let limit = if left == 0 { MAX_LINGER } else { max_stall };
        let since = if left == 0 { last_unsent } else { last_progress };
        let wait = limit.saturating_sub(since.elapsed());
        if wait.is_zero() {
            return;
        }
        sleep(wait.min(CHECK_INTERVAL)).await;
        let before = std::mem::replace(&mut left, unsent().unwrap_or_default());
        if left < before {
            last_progress = Instant::now();
        }
        if left > 0 {
            last_unsent = Instant::now();
        }
    }
}
