use std::time::Duration;

use pollenlever_core::policy::Event;

use crate::ring::RingSender;

/// Wait before the next attempt to put an event into a full ring.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Puts an event that must not be lost into the ring to the decision thread. While the ring is
/// full, the task waits without blocking its thread. Does nothing if the receiver is gone.
pub async fn push_event(events: &RingSender<Event>, event: Event) {
    let mut event = event;
    while let Err(rejected) = events.try_push(event) {
        match rejected {
            Some(returned) => event = returned,
            None => return,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
