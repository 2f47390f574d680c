use std::time::Duration;

use crate::Timestamp;

/// Time over which use is counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Number of events in about the last second.
#[derive(Debug, Default)]
pub(super) struct Usage {
    period: u64,
    current: u32,
    last: u32,
}

impl Usage {
    pub(super) fn record(&mut self, now: Timestamp) {
        self.advance(now);
        self.current += 1;
    }

    /// Events per second; the last period counts as far as it reaches into the last second.
    pub(super) fn per_second(&mut self, now: Timestamp) -> f64 {
        self.advance(now);
        let rest = 1.0 - f64::from(now.subsec_nanos()) / PERIOD.as_nanos() as f64;
        f64::from(self.current) + f64::from(self.last) * rest
    }

    fn advance(&mut self, now: Timestamp) {
        let period = now.as_secs();
        if period != self.period {
            self.last = if period == self.period + 1 { self.current } else { 0 };
            self.current = 0;
            self.period = period;
        }
    }
}
