use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that is told apart, in microseconds.
const MAX_US: u64 = 10_000_000;

/// Latencies of whole answers, and calls that got none.
#[derive(Debug)]
pub(super) struct Samples {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    latencies: Histogram<u64>,
    failed: u64,
}

impl Samples {
    pub(super) fn new() -> Samples {
        let latencies = Histogram::new_with_max(MAX_US, 3).expect("the bounds are constants");
        Samples { inner: Mutex::new(Inner { latencies, failed: 0 }) }
    }

    /// Counts a call; `latency` is missing if no whole answer came.
    pub(super) fn add(&self, latency: Option<Duration>) {
        let mut inner = self.lock();
        match latency {
            Some(latency) => inner.latencies.saturating_record(latency.as_micros() as u64),
            None => inner.failed += 1,
        }
    }

    /// A quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.lock().latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Whole answers.
    pub(super) fn answered(&self) -> u64 {
        self.lock().latencies.len()
    }

    /// Share of calls that got a whole answer.
    pub(super) fn good_ratio(&self) -> f64 {
        let inner = self.lock();
        let answered = inner.latencies.len() as f64;
        answered / (answered + inner.failed as f64).max(1.0)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
