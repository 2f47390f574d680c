use std::time::Duration;

use crate::Timestamp;
use crate::admission::DecayingSum;

/// Time constant with which the counts of calls and runs decay.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Decayed number of calls at or below which a target counts as making none.
const MIN_DECAYED_CALLS: f64 = 0.01;

/// Statistics of the calls that the target makes to other services, as decaying counts.
#[derive(Debug, Default)]
pub struct CallStats {
    runs: DecayingSum,
    calls: DecayingSum,
    /// Calls, including those that the called targets make in turn.
    transitive_calls: DecayingSum,
    overload_failures: DecayingSum,
}

impl CallStats {
    /// Records a run of the target.
    pub fn record_run(&mut self, now: Timestamp) {
        self.runs.add(now, DECAY_TIME, 1.0);
    }

    /// Records a call of the target that caused `downstream_calls` further calls.
    /// `is_overload_failure` is set if it failed because a service downstream is overloaded.
    pub fn record_call(
        &mut self,
        now: Timestamp,
        downstream_calls: f64,
        is_overload_failure: bool,
    ) {
        self.calls.add(now, DECAY_TIME, 1.0);
        self.transitive_calls.add(now, DECAY_TIME, 1.0 + downstream_calls);
        if is_overload_failure {
            self.overload_failures.add(now, DECAY_TIME, 1.0);
        }
    }

    /// Share of calls that failed because a service downstream is overloaded, in thousandths.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::CallStats;
    /// let mut call_stats = CallStats::default();
    /// for call in 0..4 {
    ///     call_stats.record_call(Duration::ZERO, 0.0, call == 0);
    /// }
    /// assert_eq!(call_stats.overload_failure_permille(Duration::ZERO), 250);
    /// ```
    pub fn overload_failure_permille(&self, now: Timestamp) -> u16 {
        let calls = self.calls.get(now, DECAY_TIME);
        if calls < f64::EPSILON {
            0
        } else {
            (self.overload_failures.get(now, DECAY_TIME) / calls * 1000.0) as u16
        }
    }

    /// Whether the target recently made calls.
    pub fn makes_calls(&self, now: Timestamp) -> bool {
        self.calls.get(now, DECAY_TIME) > MIN_DECAYED_CALLS
    }

    /// Average number of calls that a run causes, directly and indirectly, in hundredths.
    pub fn calls_per_100_runs(&self, now: Timestamp) -> u16 {
        let runs = self.runs.get(now, DECAY_TIME);
        let calls = self.transitive_calls.get(now, DECAY_TIME);
        if runs < 1.0 { 0 } else { (calls / runs * 100.0).min(f64::from(u16::MAX)) as u16 }
    }
}
