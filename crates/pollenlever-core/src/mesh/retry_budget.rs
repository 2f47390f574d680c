use std::collections::HashMap;

use super::RetryBudgetSettings;
use super::recent_counts::{BUCKETS, RecentCounts};
use crate::Timestamp;
use crate::id::ServiceName;

/// Share of its allowance that a node uses. The rest is a reserve for retries and requests that the
/// node cannot count: retries sent by a node that was replaced within the window, and requests that
/// have moved to another node.
const USABLE_SHARE: f64 = 0.8;
/// Limit of the requests of an earlier window that earn retries, as a multiple of those in the
/// current window. With a larger value, nodes could send more retries for requests that have since
/// moved to other nodes.
const MAX_EARLIER_RATIO: f64 = 2.0;

/// This node's share of the retry budget that all nodes together have for each service.
///
/// The retries in any span of one window are limited to `ratio * requests + min_retries`, where
/// `requests` is the number of requests in that span, in the window before it, or in the window
/// that starts half a window before it, whichever is largest. A node earns retries by the requests
/// that it took from callers and has an equal part of `min_retries`, so that the nodes together
/// keep the budget without communication.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, ServiceCounts>,
}

/// Decision about a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// Cost of the retries already sent in the recent span that leaves least for this one.
    pub spent: f64,
    /// Maximum cost of retries in that span.
    pub allowed: f64,
}

#[derive(Debug)]
struct ServiceCounts {
    requests: RecentCounts,
    retries: RecentCounts,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Records a request that this node took from a caller.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.counts(service).requests.add(now, 1.0);
    }

    /// Spends `cost` on a retry if this node's share allows it. `cost` is 1 for the retry itself
    /// plus the calls that the target repeats while it runs the retry; `nodes` is the number
    /// of nodes that share `min_retries`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings};
    /// let settings = RetryBudgetSettings { min_retries: 5.0, ..RetryBudgetSettings::default() };
    /// let mut budget = RetryBudget::new(settings);
    /// assert!(budget.try_spend(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// assert!(budget.try_spend(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// assert!(!budget.try_spend(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// ```
    pub fn try_spend(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        cost: f64,
        nodes: usize,
    ) -> RetryDecision {
        let RetryBudgetSettings { ratio, min_retries, .. } = self.settings;
        let min_retries = min_retries / nodes.max(1) as f64;
        let counts = self.counts(service);
        // Recent spans of every length up to a window: the one that leaves least decides.
        let spans = (0..=BUCKETS).map(|buckets| {
            let spent = counts.retries.since(now, buckets);
            let allowed = USABLE_SHARE
                * (ratio * counts.requests_earning_retries(now, buckets) + min_retries);
            (spent, allowed)
        });
        let remaining = |(spent, allowed): &(f64, f64)| allowed - spent;
        let tightest = spans.min_by(|a, b| remaining(a).total_cmp(&remaining(b)));
        let (spent, allowed) = tightest.unwrap_or_default();
        let is_granted = spent + cost <= allowed;
        if is_granted {
            counts.retries.add(now, cost);
        }
        RetryDecision { is_granted, spent, allowed }
    }

    /// Charges the budget for a call that may repeat an earlier one, because the run that makes it
    /// may be a retry. Such a call is sent even if the budget is spent. `probability` is that of a
    /// repeat, from 0 to 1.
    pub fn record_repeat(&mut self, now: Timestamp, service: &ServiceName, probability: f64) {
        if probability > 0.0 {
            self.counts(service).retries.add(now, probability);
        }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut ServiceCounts {
        let window = self.settings.window;
        let new = || ServiceCounts {
            requests: RecentCounts::new(window),
            retries: RecentCounts::new(window),
        };
        self.services.entry(service.clone()).or_insert_with(new)
    }
}

impl ServiceCounts {
    /// Requests that earn the retries of the span that began `buckets` buckets ago.
    fn requests_earning_retries(&self, now: Timestamp, buckets: usize) -> f64 {
        let requests = |from, until| self.requests.between(now, from, until);
        let in_span = requests(buckets, 0);
        let window_before = requests(buckets + BUCKETS, buckets);
        let window_around_start =
            requests(buckets + BUCKETS / 2, buckets.saturating_sub(BUCKETS / 2));
        let current_window = requests(BUCKETS, 0);
        in_span.max(window_before).max(window_around_start).min(MAX_EARLIER_RATIO * current_window)
    }
}
