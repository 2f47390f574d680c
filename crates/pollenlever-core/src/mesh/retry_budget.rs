use std::collections::HashMap;

use super::RetryBudgetSettings;
use super::recent_counts::{PARTS, RecentCounts};
use crate::Timestamp;
use crate::id::ServiceName;

/// Share of the allowance that a node spends; the rest covers what it cannot see, such as retries
/// of a node that was replaced within the window, and requests that move from node to node.
const SPENT_SHARE: f64 = 0.8;
/// Requests of an earlier window that count at most, as a multiple of those of the present one. The
/// larger it is, the more nodes could spend for requests that have moved to other nodes.
const MAX_EARLIER: f64 = 2.0;

/// This node's share of the budget of retries that all nodes have for a service.
///
/// In no span of one window may there be more retries than a ratio of the requests of that span, of
/// the one before it or of the one half a window before it, whichever has most, and a slack. A node
/// earns retries by the requests that it owns and has an equal part of the slack, so the nodes keep
/// the common budget without talking to each other.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, Counts>,
}

/// What the budget says to a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryGrant {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// Cost of the retries that count against it.
    pub spent: f64,
    /// Cost of all retries that may.
    pub allowed: f64,
}

#[derive(Debug)]
struct Counts {
    requests: RecentCounts,
    retries: RecentCounts,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Notes a request that this node owns.
    pub fn count_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.counts(service).requests.add(now, 1.0);
    }

    /// Takes a retry, if this node's share allows one among `nodes` nodes. `cost` counts the retry
    /// itself and the calls that the target repeats with it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::{RetryBudget, RetryBudgetSettings};
    /// let settings = RetryBudgetSettings { slack: 5.0, ..RetryBudgetSettings::default() };
    /// let mut budget = RetryBudget::new(settings);
    /// assert!(budget.take(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// assert!(budget.take(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// assert!(!budget.take(Duration::ZERO, &"balance".into(), 1.0, 2).is_granted);
    /// ```
    pub fn take(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        cost: f64,
        nodes: usize,
    ) -> RetryGrant {
        let RetryBudgetSettings { ratio, slack, .. } = self.settings;
        let slack = slack / nodes.max(1) as f64;
        let counts = self.counts(service);
        let spans = (0..=PARTS).map(|parts| {
            let spent = counts.retries.since(now, parts);
            let allowed = SPENT_SHARE * (ratio * counts.earning_requests(now, parts) + slack);
            (spent, allowed)
        });
        let room = |(spent, allowed): &(f64, f64)| allowed - spent;
        let tightest = spans.min_by(|a, b| room(a).total_cmp(&room(b)));
        let (spent, allowed) = tightest.unwrap_or_default();
        let is_granted = spent + cost <= allowed;
        if is_granted {
            counts.retries.add(now, cost);
        }
        RetryGrant { is_granted, spent, allowed }
    }

    /// Notes a request that cannot be held back although it repeats an earlier one with the chance
    /// `repeat`: a call of a run that is itself a retry.
    pub fn charge(&mut self, now: Timestamp, service: &ServiceName, repeat: f64) {
        if repeat > 0.0 {
            self.counts(service).retries.add(now, repeat);
        }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut Counts {
        let window = self.settings.window;
        let new =
            || Counts { requests: RecentCounts::new(window), retries: RecentCounts::new(window) };
        self.services.entry(service.clone()).or_insert_with(new)
    }
}

impl Counts {
    /// Requests that earn the retries of a window that began `parts` parts of a window ago.
    fn earning_requests(&self, now: Timestamp, parts: usize) -> f64 {
        let requests = |from, until| self.requests.between(now, from, until);
        let own = requests(parts, 0);
        let before = requests(parts + PARTS, parts);
        let half_before = requests(parts + PARTS / 2, parts.saturating_sub(PARTS / 2));
        let present = requests(PARTS, 0);
        own.max(before).max(half_before).min(MAX_EARLIER * present)
    }
}
