use std::collections::HashMap;

use super::node_count::NodeCount;
use super::recent_counts::BUCKETS;
use super::service_counts::ServiceCounts;
use super::{RetryBudgetSettings, RetryPriority};
use crate::Timestamp;
use crate::id::ServiceName;

/// Share of its allowance that a node uses. The rest is a reserve for retries and requests that the
/// node cannot count: retries sent by a node that was replaced within the window, and requests that
/// have moved to another node.
const USABLE_SHARE: f64 = 0.8;
/// Share of the allowance that new chains leave to the retries of those that have started.
const KEPT_FOR_STARTED_SHARE: f64 = 0.15;
/// Share of failed attempts below which requests are taken to succeed.
const MIN_FAILURE_RATIO: f64 = 0.01;

/// This node's share of the retry budget that all nodes together have for each service.
///
/// The retries in any span of one window are limited to `ratio * requests + min_retries`, where
/// `requests` is the number of requests in that span, in the window before it, or in the window
/// that starts half a window before it, whichever is largest. A node earns retries by the requests
/// that it took from callers and has an equal part of `min_retries`, so that the nodes together
/// keep the budget without communication.
///
/// While attempts fail so often that the budget cannot cover all retries, requests of a higher
/// [`RetryPriority`] come first: a lower one gets only what the higher ones are expected to leave
/// in a window. Otherwise the retries would be spread over all chains of calls, and none with many
/// calls would get all the answers that it needs.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Number of nodes that share `min_retries`.
    node_count: NodeCount,
    services: HashMap<ServiceName, ServiceCounts>,
}

/// Decision about a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// Cost of the retries already sent in the recent span that leaves least for this one.
    pub spent: f64,
    /// Maximum cost of retries in that span, without what is reserved for higher priorities.
    pub allowed: f64,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, node_count: NodeCount::default(), services: HashMap::new() }
    }

    /// Replaces the settings. The counts start anew if the window changes.
    pub fn configure(&mut self, settings: RetryBudgetSettings) {
        if self.settings.window != settings.window {
            self.services.clear();
        }
        self.settings = settings;
    }

    /// Sets the number of nodes that share `min_retries`, this one included. Until then this node
    /// uses none of them. A lower number counts only after an hour, since the other nodes may be
    /// cut off and go on using their shares.
    pub fn set_node_count(&mut self, now: Timestamp, nodes: usize) {
        self.node_count.record(now, nodes.max(1));
    }

    /// Records a request that this node took from a caller.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        priority: RetryPriority,
    ) {
        self.counts(service).record_request(now, priority);
    }

    /// Records an attempt that reached a target of the service. `needs_retry` is whether it yielded
    /// no answer for the caller, so that only a retry could.
    pub fn record_attempt(&mut self, now: Timestamp, service: &ServiceName, needs_retry: bool) {
        self.counts(service).record_attempt(now, needs_retry);
    }

    /// Spends `cost` on a retry if this node's share allows it. `cost` is 1 for the retry itself
    /// plus the calls that the target repeats while it runs the retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings, RetryPriority};
    /// let settings = RetryBudgetSettings { min_retries: 5.0, ..RetryBudgetSettings::default() };
    /// let mut budget = RetryBudget::new(settings);
    /// budget.set_node_count(Duration::ZERO, 2);
    /// let priority = RetryPriority { importance: Importance::Normal, is_call: false };
    /// let mut try_spend =
    ///     || budget.try_spend(Duration::ZERO, &"balance".into(), priority, 1.0).is_granted;
    /// assert!(try_spend());
    /// assert!(try_spend());
    /// assert!(!try_spend());
    /// ```
    pub fn try_spend(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        priority: RetryPriority,
        cost: f64,
    ) -> RetryDecision {
        let decision = self.decide(now, service, priority, cost);
        if decision.is_granted {
            self.counts(service).record_retry(now, priority, cost);
        }
        decision
    }

    /// Probability that a new request to the service gets an answer of a target, by the share of
    /// attempts that fail and by what the budget has left for this priority. The last retries are
    /// kept for requests that have started, so the probability falls before the budget is spent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings, RetryPriority};
    /// let (now, service) = (Duration::from_secs(1), "balance".into());
    /// let priority = RetryPriority { importance: Importance::Normal, is_call: true };
    /// let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    /// assert_eq!(budget.expected_success(now, &service, priority), 1.0);
    /// for attempt in 0..100 {
    ///     budget.record_attempt(now, &service, attempt % 2 == 0);
    /// }
    /// assert!(budget.expected_success(now, &service, priority) < 0.6);
    /// ```
    pub fn expected_success(
        &self,
        now: Timestamp,
        service: &ServiceName,
        priority: RetryPriority,
    ) -> f64 {
        let failure_ratio = self.services.get(service).map_or(0.0, |it| it.failure_ratio(now));
        if failure_ratio < MIN_FAILURE_RATIO {
            return 1.0;
        }
        let RetryDecision { spent, allowed, .. } = self.decide(now, service, priority, 1.0);
        let kept_back = KEPT_FOR_STARTED_SHARE * allowed;
        let grant_ratio = ((allowed - spent) / kept_back.max(1.0)).clamp(0.0, 1.0);
        (1.0 - failure_ratio) / (1.0 - failure_ratio * grant_ratio)
    }

    /// Charges the budget for a call that may repeat an earlier one, because the run that makes it
    /// may be a retry. Such a call is sent even if the budget is spent. `probability` is that of a
    /// repeat, from 0 to 1.
    pub fn record_repeat(&mut self, now: Timestamp, service: &ServiceName, probability: f64) {
        if probability > 0.0 {
            self.counts(service).record_repeat(now, probability);
        }
    }

    fn decide(
        &self,
        now: Timestamp,
        service: &ServiceName,
        priority: RetryPriority,
        cost: f64,
    ) -> RetryDecision {
        let RetryBudgetSettings { ratio, min_retries, .. } = self.settings;
        let min_retries = self.node_count.get().map_or(0.0, |it| min_retries / it as f64);
        let counts = self.services.get(service);
        let reserved = counts.map_or(0.0, |it| it.reserved_above(now, priority));
        // Recent spans of every length up to a window: the one that leaves least decides.
        let spans = (0..=BUCKETS).map(|buckets| {
            let spent = counts.map_or(0.0, |it| it.retries(now, buckets));
            let earning = counts.map_or(0.0, |it| it.requests_earning_retries(now, buckets));
            (spent, USABLE_SHARE * (ratio * earning + min_retries) - reserved)
        });
        let remaining = |(spent, allowed): &(f64, f64)| allowed - spent;
        let tightest = spans.min_by(|a, b| remaining(a).total_cmp(&remaining(b)));
        let (spent, allowed) = tightest.unwrap_or_default();
        RetryDecision { is_granted: spent + cost <= allowed, spent, allowed }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut ServiceCounts {
        let window = self.settings.window;
        self.services.entry(service.clone()).or_insert_with(|| ServiceCounts::new(window))
    }
}
