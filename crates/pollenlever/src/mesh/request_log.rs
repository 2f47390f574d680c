use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// One request in this many is logged although nothing about it is out of the ordinary.
const SAMPLE: u64 = 128;
/// Lines about single requests that may be logged in a second.
const LINES_PER_S: f64 = 20.0;
/// Lines about single requests that may be logged at once.
const BURST: f64 = 100.0;

/// Bounds the lines about single requests.
///
/// Ordinary requests are sampled by their id, so that all nodes keep the same ones. Failures,
/// refusals and repeats are logged up to a rate; the next line says how many were left out.
#[derive(Debug)]
pub(super) struct RequestLog {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tokens: f64,
    refilled: Duration,
    omitted: u64,
}

impl RequestLog {
    /// Whether an ordinary request is among those that are logged.
    pub(super) fn samples(request: &str) -> bool {
        xxh3_64(request.as_bytes()).is_multiple_of(SAMPLE)
    }

    /// Whether one more line may be logged, and how many were left out before it.
    pub(super) fn admit(&self, now: Duration) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_sub(state.refilled).as_secs_f64();
        state.refilled = now;
        state.tokens = (state.tokens + elapsed * LINES_PER_S).min(BURST);
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
        let state = State { tokens: BURST, refilled: Duration::ZERO, omitted: 0 };
        RequestLog { state: Mutex::new(state) }
    }
}
