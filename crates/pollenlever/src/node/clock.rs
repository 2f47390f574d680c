use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use pollenlever_core::Timestamp;

/// Monotonic time since the node started, time in which the VM was suspended included.
///
/// ```
/// let clock = pollenlever::node::Clock::default();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        since_boot().saturating_sub(self.start)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: since_boot() }
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.map(Duration::from).expect("every supported kernel has CLOCK_BOOTTIME")
}
