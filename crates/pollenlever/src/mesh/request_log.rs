use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// One ordinary request in this many is logged.
const SAMPLE_INTERVAL: u64 = 128;
/// Sustained rate of log lines about single requests, in lines per second.
const LINES_PER_S: f64 = 20.0;
/// Largest burst of log lines about single requests.
const MAX_BURST_LINES: f64 = 100.0;

/// Limits the log lines about single requests.
///
/// Ordinary requests are sampled by their id, so that all nodes log the same ones. Failures,
/// refusals and retries are logged up to a rate; the next line carries the number of omitted ones.
#[derive(Debug)]
pub(crate) struct RequestLog {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tokens: f64,
    refilled_at: Duration,
    omitted: u64,
}

impl RequestLog {
    /// Whether the sample of ordinary requests includes this one.
    pub(crate) fn is_sampled(request: &str) -> bool {
        xxh3_64(request.as_bytes()).is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Returns the number of lines omitted since the last one if another line may be logged now, or
    /// else `None`.
    pub(crate) fn admit_line(&self, now: Duration) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_sub(state.refilled_at).as_secs_f64();
        state.refilled_at = now;
        state.tokens = (state.tokens + elapsed * LINES_PER_S).min(MAX_BURST_LINES);
        if state.tokens < 1.0 {
            state.omitted += 1;
            return None;
        }
        state.tokens -= 1.0;
        Some(std::mem::take(&mut state.omitted))
    }
}

impl Default for RequestLog {
    fn default() -> RequestLog {
        let state = State { tokens: MAX_BURST_LINES, refilled_at: Duration::ZERO, omitted: 0 };
        RequestLog { state: Mutex::new(state) }
    }
}
