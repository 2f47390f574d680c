use std::time::Duration;

use pollenlever_core::policy::Event;

use crate::ring::Ring;

/// Wait before another try to report into a full ring.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Reports an event that must not be lost. While the ring is full, the task waits and its thread
/// does not.
pub async fn report(events: &Ring<Event>, event: Event) {
    let mut event = event;
    while let Err(back) = events.try_push(event) {
        match back {
            Some(full) => event = full,
            None => return,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
