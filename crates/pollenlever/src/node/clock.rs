use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use pollenlever_core::Timestamp;

/// Monotonic clock that starts at zero and goes on while the VM (the machine beside which the node
/// runs) is suspended.
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
    /// Time since this clock was created.
    pub fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.start)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: time_since_boot() }
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    now.map(Duration::from).expect("every supported kernel has CLOCK_BOOTTIME")
}
