use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Timestamp;

/// Tolerance in the comparison of deadlines: only a request that expires later than every run by
/// more than this is certain not to be a call.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);
/// Share of requests that cannot be calls at which a route counts as used by callers on the VM.
const MIN_CALLER_SHARE: f64 = 0.1;
/// Weight of a new request in the moving average of the share.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Distinguishes calls that the target beside a node makes from requests of callers on the same VM
/// (the machine beside which the node runs).
///
/// A call expires no later than the run in whose course it is made. A request that expires later
/// than every run of the target, or that arrives while nothing runs, is therefore not a call. A
/// route with many such requests is taken to serve callers.
#[derive(Debug, Default)]
pub struct CallClassifier {
    /// Moving average, per route, of the share of requests that cannot be calls.
    non_call_shares: HashMap<Arc<str>, f64>,
}

impl CallClassifier {
    /// Classifies a request of `route` that expires at `deadline`; returns whether it counts as a
    /// call of the target. `last_run` is the latest deadline of the target's runs, `None` without a
    /// run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::CallClassifier;
    /// let mut classifier = CallClassifier::default();
    /// let (soon, late) = (Duration::from_secs(1), Duration::from_secs(5));
    /// assert!(classifier.is_call(&"tariff".into(), soon, Some(late)));
    /// assert!(!classifier.is_call(&"balance".into(), late, Some(soon)));
    /// ```
    pub fn is_call(
        &mut self,
        route: &Arc<str>,
        deadline: Timestamp,
        last_run: Option<Timestamp>,
    ) -> bool {
        let cannot_be_call = last_run.is_none_or(|it| deadline > it + DEADLINE_TOLERANCE);
        let sample = if cannot_be_call { 1.0 } else { 0.0 };
        let share = self.non_call_shares.entry(route.clone()).or_insert(sample);
        *share += SAMPLE_WEIGHT * (sample - *share);
        *share < MIN_CALLER_SHARE
    }

    /// Forgets the routes for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.non_call_shares.retain(|route, _| is_kept(route));
    }
}
