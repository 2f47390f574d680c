use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Fraction of the idle time of a connection found dead up to which other connections are still
/// considered alive.
const SAFE_IDLE_FRACTION: f64 = 0.7;
/// Time for which a learned limit is used.
const LEARNED_LIMIT_TTL: Duration = Duration::from_secs(30);

/// Shortest idle time after which targets are expected to close connections. A connection that
/// breaks after less time broke for another reason.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);
/// Time from a request until its connection is found dead below which the target has hardly begun
/// to work on it, so that it must have dropped the connection before.
const DEAD_AT_ONCE: Duration = Duration::from_millis(5);
/// Time for which the reuse of a connection shows that the target does not drop connections that
/// have been idle for as long.
const REUSE_TTL: Duration = Duration::from_secs(3);

/// Learns how long a target keeps idle connections open, for targets that close them sooner than
/// they announce.
///
/// A connection that breaks during a run says nothing about idle times: the target may lose answers
/// for another reason, and connections that are not reused are expensive.
#[derive(Debug, Default)]
pub(crate) struct IdleLimit {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Longest safe idle time, and when it was learned.
    learned: Option<(Duration, Instant)>,
    /// Longest idle time after which a connection was reused lately, and when.
    reused: Option<(Duration, Instant)>,
}

impl IdleLimit {
    /// Longest idle time after which a connection may be reused; [`Duration::MAX`] if no limit was
    /// learned recently.
    pub(crate) fn get(&self) -> Duration {
        self.lock().limit()
    }

    /// Records that a connection was reused after `idle`.
    pub(crate) fn record_reuse(&self, idle: Duration) {
        let mut state = self.lock();
        if idle >= state.reused_idle() {
            state.reused = Some((idle, Instant::now()));
        }
    }

    /// Records that a connection was lost `waited` after it was reused, without an answer. It had
    /// been idle for `idle` before.
    pub(crate) fn record_loss(&self, idle: Duration, waited: Duration) {
        let mut state = self.lock();
        let is_broken_run = waited >= DEAD_AT_ONCE && state.reused_idle() >= idle;
        if idle < MIN_IDLE_LIMIT || is_broken_run {
            return;
        }
        let limit = idle.mul_f64(SAFE_IDLE_FRACTION).max(MIN_IDLE_LIMIT);
        let limit = limit.min(state.limit());
        state.learned = Some((limit, Instant::now()));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn limit(&self) -> Duration {
        let learned = self.learned.filter(|(_, at)| at.elapsed() < LEARNED_LIMIT_TTL);
        learned.map_or(Duration::MAX, |(limit, _)| limit)
    }

    /// Longest idle time after which a connection was reused lately; zero if none was.
    fn reused_idle(&self) -> Duration {
        let reused = self.reused.filter(|(_, at)| at.elapsed() < REUSE_TTL);
        reused.map_or(Duration::ZERO, |(idle, _)| idle)
    }
}
