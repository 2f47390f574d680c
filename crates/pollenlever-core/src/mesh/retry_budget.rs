use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::RetryBudgetSettings;
use crate::Timestamp;
use crate::id::ServiceName;

/// Share of the allowance that a node spends; the rest covers what it cannot see, such as retries
/// of a node that was replaced within the window.
const SPENT_SHARE: f64 = 0.8;

/// This node's share of the budget of retries that all nodes have for a service.
///
/// A node earns retries by the requests that it owns and has an equal part of the slack, so the
/// nodes keep the common budget without talking to each other.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, Window>,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    /// Time and cost of each retry.
    retries: VecDeque<(Timestamp, f64)>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Notes a request that this node owns.
    pub fn count_request(&mut self, now: Timestamp, service: &ServiceName) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        counts.expire(now, window);
    }

    /// Takes a retry, if this node's share allows one among `nodes` nodes. `cost` counts the retry
    /// itself and the calls that the target repeats with it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings};
    /// let settings = RetryBudgetSettings { slack: 5.0, ..RetryBudgetSettings::default() };
    /// let mut budget = RetryBudget::new(settings);
    /// assert!(budget.take(Duration::ZERO, &"balance".into(), 1.0, 2));
    /// assert!(budget.take(Duration::ZERO, &"balance".into(), 1.0, 2));
    /// assert!(!budget.take(Duration::ZERO, &"balance".into(), 1.0, 2));
    /// ```
    pub fn take(&mut self, now: Timestamp, service: &ServiceName, cost: f64, nodes: usize) -> bool {
        let RetryBudgetSettings { ratio, window, slack } = self.settings;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, window);
        let earned = ratio * counts.requests.len() as f64;
        let allowed = SPENT_SHARE * (earned + slack / nodes.max(1) as f64);
        let spent: f64 = counts.retries.iter().map(|(_, cost)| cost).sum();
        if spent + cost > allowed {
            return false;
        }
        counts.retries.push_back((now, cost));
        true
    }

    /// Notes a request that cannot be held back although it repeats an earlier one with the chance
    /// `repeat`: a call of a run that is itself a retry.
    pub fn charge(&mut self, now: Timestamp, service: &ServiceName, repeat: f64) {
        if repeat > 0.0 {
            let counts = self.services.entry(service.clone()).or_default();
            counts.retries.push_back((now, repeat));
        }
    }
}

impl Window {
    fn expire(&mut self, now: Timestamp, window: Duration) {
        while self.requests.front().is_some_and(|at| *at + window < now) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|(at, _)| *at + window < now) {
            self.retries.pop_front();
        }
    }
}
