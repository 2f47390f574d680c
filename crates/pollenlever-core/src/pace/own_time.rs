use std::time::Duration;

use crate::Timestamp;

/// Measures how long a run of the target works itself, without the time in which it waits for calls
/// that it made.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::pace::OwnTime;
/// let ms = Duration::from_millis;
/// let mut own = OwnTime::new(ms(0));
/// own.record_call_start(ms(10));
/// own.record_call_start(ms(20));
/// own.record_call_end(ms(30));
/// own.record_call_end(ms(60));
/// assert_eq!(own.get(ms(80)), ms(30));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnTime {
    started: Timestamp,
    open_calls: u32,
    waiting_since: Timestamp,
    waited: Duration,
}

impl OwnTime {
    /// Begins to measure a run that starts now.
    pub fn new(now: Timestamp) -> OwnTime {
        OwnTime { started: now, open_calls: 0, waiting_since: now, waited: Duration::ZERO }
    }

    /// Records that the run makes a call.
    pub fn record_call_start(&mut self, now: Timestamp) {
        if self.open_calls == 0 {
            self.waiting_since = now;
        }
        self.open_calls += 1;
    }

    /// Records that a call of the run has ended.
    pub fn record_call_end(&mut self, now: Timestamp) {
        if self.open_calls == 1 {
            self.waited += now.saturating_sub(self.waiting_since);
        }
        self.open_calls = self.open_calls.saturating_sub(1);
    }

    /// Time that the run has worked until now.
    pub fn get(&self, now: Timestamp) -> Duration {
        let is_waiting = self.open_calls > 0;
        let waits =
            if is_waiting { now.saturating_sub(self.waiting_since) } else { Duration::ZERO };
        now.saturating_sub(self.started).saturating_sub(self.waited + waits)
    }
}
