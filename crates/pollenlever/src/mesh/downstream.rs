use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::id::ServiceName;
use pollenlever_core::mesh::{
    CallOutlook, ChainAdmission, Lineage, RequestClass, RetryBudget, RetryBudgetSettings,
    RetryDecision,
};
use pollenlever_core::message::GateLoad;

use crate::node::Clock;

/// What this node knows about the services to which it sends requests: the budget for retries, and
/// how likely a chain of calls completes. The dispatcher and the gate of the node share it.
#[derive(Debug)]
pub(super) struct Downstream {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: RetryBudget,
    outlook: CallOutlook,
    /// Admission of new chains to the services that they enter.
    admission: HashMap<ServiceName, ChainAdmission>,
}

impl Downstream {
    pub(super) fn new(clock: Clock, settings: RetryBudgetSettings) -> Downstream {
        let (budget, outlook) = (RetryBudget::new(settings), CallOutlook::default());
        let admission = HashMap::new();
        Downstream { clock, state: Mutex::new(State { budget, outlook, admission }) }
    }

    /// Applies changed settings of the retry budget.
    pub(super) fn configure(&self, settings: RetryBudgetSettings) {
        self.lock().budget.configure(settings);
    }

    /// Sets the number of nodes that share the retry budget, this one included.
    pub(super) fn set_node_count(&self, nodes: usize) {
        self.lock().budget.set_node_count(self.clock.now(), nodes);
    }

    /// Counts a request that this node took from a caller.
    pub(super) fn record_request(&self, service: &ServiceName, lineage: Lineage) {
        let (now, priority) = (self.clock.now(), lineage.class().retry_priority());
        let mut state = self.lock();
        state.budget.record_request(now, service, priority);
        // The call may repeat an earlier one, because the run that makes it may be a retry.
        state.budget.record_repeat(now, service, f64::from(lineage.repeat));
    }

    /// Counts an attempt that reached a target. `needs_retry` is whether it yielded no answer for
    /// the caller, so that only a retry could.
    pub(super) fn record_attempt(&self, service: &ServiceName, needs_retry: bool) {
        self.lock().budget.record_attempt(self.clock.now(), service, needs_retry);
    }

    /// Records the load that a gate of the service reported in its reply to a request.
    pub(super) fn record_load(&self, service: &ServiceName, lineage: Lineage, load: &GateLoad) {
        let completion_ratio = 1.0 - f64::from(load.expected_failure_permille) / 1000.0;
        let (now, class) = (self.clock.now(), lineage.class());
        let mut state = self.lock();
        state.outlook.record_report(now, service, class, completion_ratio);
        let share = match load.admitted_permille {
            0 => 1.0,
            permille => f64::from(permille) / 1000.0,
        };
        state.outlook.record_admitted_share(now, service, class, share);
    }

    /// Time after which the caller of a new chain may retry, if the chain is refused because the service
    /// and those further down have no room for it.
    pub(super) fn chain_refusal(
        &self,
        service: &ServiceName,
        lineage: Lineage,
    ) -> Option<Duration> {
        if lineage.is_call() {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let room = state.outlook.admitted_share_at(now, service, lineage.class());
        let admission = state.admission.entry(service.clone()).or_default();
        admission.refusal(now, lineage.importance, lineage.chain, 1.0, room)
    }

    /// Share of the chains for which the services have room that a run of this node's target calls.
    pub(super) fn admitted_share(&self, class: RequestClass) -> f64 {
        self.lock().outlook.admitted_share(self.clock.now(), class)
    }

    /// Takes a retry from the retry budget, if it allows one.
    pub(super) fn take_retry(
        &self,
        service: &ServiceName,
        lineage: Lineage,
        cost: f64,
    ) -> RetryDecision {
        let (now, priority) = (self.clock.now(), lineage.class().retry_priority());
        self.lock().budget.try_spend(now, service, priority, cost)
    }

    /// Records the calls of a run of this node's target that ended with an answer.
    pub(super) fn record_run(&self, class: RequestClass, calls: &BTreeMap<ServiceName, u32>) {
        self.lock().outlook.record_run(class, calls);
    }

    /// Probability that all calls of a run of this node's target are answered.
    pub(super) fn completion_ratio(&self, class: RequestClass) -> f64 {
        let state = self.lock();
        state.outlook.completion_ratio(self.clock.now(), class, &state.budget)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
