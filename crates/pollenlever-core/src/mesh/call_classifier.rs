use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Timestamp;

/// Time by which a deadline must lie beyond that of every run to be no call's.
const MARGIN: Duration = Duration::from_millis(50);
/// Share of a route's requests that cannot be calls, from which the route is the callers'.
const OUTER_SHARE: f64 = 0.1;
/// Weight of a new request in the share.
const WEIGHT: f64 = 0.05;

/// Tells calls that the target beside a node makes from requests of callers on the same VM.
///
/// A call expires no later than the run that makes it. So a request whose deadline lies beyond
/// that of every run of the target, or that comes while there is none, is no call; a route that
/// has many such requests serves callers.
#[derive(Debug, Default)]
pub struct CallClassifier {
    /// Share of each route's requests that cannot be calls.
    outer: HashMap<Arc<str>, f64>,
}

impl CallClassifier {
    /// Whether a request of `route` that expires at `deadline` is taken for a call of the target,
    /// whose last run expires at `last_run`.
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
        let cannot_be_call = last_run.is_none_or(|it| deadline > it + MARGIN);
        let sample = if cannot_be_call { 1.0 } else { 0.0 };
        let share = self.outer.entry(route.clone()).or_insert(sample);
        *share += WEIGHT * (sample - *share);
        *share < OUTER_SHARE
    }

    /// Forgets routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.outer.retain(|route, _| is_kept(route));
    }
}
