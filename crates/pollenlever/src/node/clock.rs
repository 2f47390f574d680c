use std::time::Instant;

use pollenlever_core::Timestamp;

/// Monotonic time since the node started.
///
/// ```
/// let clock = pollenlever::node::Clock::default();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: Instant::now() }
    }
}
