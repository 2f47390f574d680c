use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Highest latency in the histogram, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Latencies of the calls that got a complete answer, and the number of calls that got none.
#[derive(Debug)]
pub(super) struct Samples {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    latencies: Histogram<u64>,
    unanswered_count: u64,
}

impl Samples {
    pub(super) fn new() -> Samples {
        let latencies =
            Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are constants");
        Samples { inner: Mutex::new(Inner { latencies, unanswered_count: 0 }) }
    }

    /// Records a call; `latency` is `None` if no complete answer came.
    pub(super) fn record(&self, latency: Option<Duration>) {
        let mut inner = self.lock();
        match latency {
            Some(latency) => inner.latencies.saturating_record(latency.as_micros() as u64),
            None => inner.unanswered_count += 1,
        }
    }

    /// Latency at a quantile between 0 and 1, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.lock().latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Number of calls that got a complete answer.
    pub(super) fn answered_count(&self) -> u64 {
        self.lock().latencies.len()
    }

    /// Share of calls that got a complete answer, between 0 and 1.
    pub(super) fn good_ratio(&self) -> f64 {
        let inner = self.lock();
        let answered_count = inner.latencies.len() as f64;
        answered_count / (answered_count + inner.unanswered_count as f64).max(1.0)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
