use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::admission::{Admission, RunOutcome, Ticket, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, ContentDigest, StreamId};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, AttemptStage, CrashSuspects, InstanceId, Lineage, MeshAttempt,
    RegistryChange, RequestClass, RunningRequest, StartTime,
};
use pollenlever_core::message::{GateLoad, Suspicion};
use tokio::sync::{Notify, oneshot};

use super::HeaderNames;
use super::downstream::Downstream;
use super::gate_state::GateState;
use super::log_event::{LogEvent, log_event};
use super::mesh_metrics::MeshMetrics;
use super::request_log::RequestLog;
use super::slot_guard::SlotGuard;
use super::target_client::TargetClient;
use super::target_result::TargetResult;
use super::target_run::TargetRun;
use crate::node::Clock;

/// Customer of all requests: the mesh does not tell customers apart.
const ANY_CUSTOMER: &str = "any";
/// Statuses with which a target reports that a request ran and failed.
const FAILED_STATUSES: std::ops::RangeInclusive<u16> = 500..=599;

/// Shortest time between two checks of the requests that wait for the rate limit of the target.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Admits requests to the target, the server process beside this node, and runs them there.
pub(super) struct Gate {
    pub(super) clock: Clock,
    client: TargetClient,
    /// Limits log lines about single attempts.
    pub(super) log: RequestLog,
    pub(super) metrics: MeshMetrics,
    /// Signalled when a crash of the target was recorded.
    crash_recorded: Notify,
    /// Signalled when the target stated that it leaves, and the other nodes have to be told.
    pub(super) target_left: Notify,
    /// Signalled when a request waits for the rate limit of the target.
    waits_for_rate_limit: Notify,
    downstream: Arc<Downstream>,
    state: Mutex<GateState>,
}

/// A run of an attempt that got a slot.
pub(super) struct RunStart {
    pub(super) instance: InstanceId,
    /// Start time of the target's process.
    pub(super) process_started: StartTime,
    pub(super) digest: ContentDigest,
    /// Start of the run on the node's clock.
    pub(super) at: Duration,
    /// Time from the start until the request's deadline.
    pub(super) time_left: Duration,
}

impl Gate {
    pub(super) fn new(
        target: SocketAddr,
        names: HeaderNames,
        clock: Clock,
        metrics: MeshMetrics,
        downstream: Arc<Downstream>,
    ) -> Gate {
        Gate {
            clock,
            client: TargetClient::new(target, names),
            log: RequestLog::default(),
            metrics,
            crash_recorded: Notify::new(),
            target_left: Notify::new(),
            waits_for_rate_limit: Notify::new(),
            downstream,
            state: Mutex::default(),
        }
    }

    /// Sets the number of connections that the target accepts; 0 means unlimited.
    pub(super) fn set_max_connections(&self, max: u32) {
        self.client.set_max_connections(max);
    }

    /// Seals an attempt: it can never start from now on. Returns `false` if it has started already.
    pub(super) fn seal(&self, attempt: AttemptId) -> bool {
        self.lock().ledger.seal(attempt) == AttemptStage::Sealed
    }

    /// Runs an attempt. Dropping the future cancels it if idempotent; otherwise it runs to its end.
    pub(super) async fn attempt(
        self: &Arc<Gate>,
        head: MeshAttempt,
        body: Bytes,
    ) -> (AttemptReply, Bytes) {
        let deadline = self.clock.now() + head.time_left;
        let digest = CrashSuspects::digest(&head, &body);
        let mut slot = match self.acquire_slot(&head, digest, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return self.refuse(&head, refusal),
        };
        let start = match self.begin_run(&head, digest, deadline) {
            Ok(start) => start,
            Err(refusal) => return self.refuse(&head, refusal),
        };
        slot.record_start(self.clock.now());
        let id = head.request_id.clone();
        let run =
            RunningRequest { id, lineage: head.lineage, deadline, digest, calls: BTreeMap::new() };
        self.lock().runs.insert(slot.id(), run);
        if head.is_idempotent {
            return self.run(slot, start, head, body).await;
        }
        let (gate, class) = (Arc::clone(self), head.lineage.class());
        let run = tokio::spawn(async move { gate.run(slot, start, head, body).await });
        run.await.unwrap_or_else(|err| {
            log::error!("run ended without a result reason={:?}", err.to_string());
            (self.reply_without_statement(class, AttemptOutcome::Unknown), Bytes::new())
        })
    }

    /// Waits in the admission queue for a slot, one of the concurrent runs that the limit allows.
    async fn acquire_slot(
        self: &Arc<Gate>,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<SlotGuard, AttemptOutcome> {
        let (id, mut verdict) = self.offer(head, digest, deadline)?;
        let guard = SlotGuard::new(Arc::clone(self), id);
        let verdict = match tokio::time::timeout(head.max_wait, &mut verdict).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => verdict.try_recv().ok(),
        };
        match verdict {
            Some(Verdict::Run(_)) => Ok(guard),
            Some(Verdict::Shed { error, retry_after, .. }) => {
                Err(refused(error, Some(retry_after)))
            }
            None => Err(self.waited_too_long()),
        }
    }

    /// Refusal of a request that got no slot within its longest wait.
    fn waited_too_long(&self) -> AttemptOutcome {
        let load = self.load();
        if load.rate_limit_wait.is_zero() {
            return refused(ErrorKind::Overloaded, None);
        }
        let retry_after = load.rate_limit_wait + load.queue_drain_time;
        refused(ErrorKind::RateLimited, Some(retry_after))
    }

    fn offer(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<(StreamId, oneshot::Receiver<Verdict>), AttemptOutcome> {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.ledger.begin(head.id) {
            return Err(refused(ErrorKind::Overloaded, None));
        }
        if state.merge_remembered(now, head.remembered.as_ref()) == RegistryChange::Closed {
            self.target_left.notify_one();
        }
        if let Some(error) = state.refusal_reason(head, digest) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
        }
        if let Some(retry_after) = self.chain_refusal(now, &mut state, head) {
            state.ledger.seal(head.id);
            return Err(refused(ErrorKind::DownstreamOverloaded, Some(retry_after)));
        }
        state.last_id += 1;
        let id = state.last_id;
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(id, tx);
        let ticket = Ticket {
            id,
            service: head.service.clone(),
            importance: head.lineage.importance,
            chain: head.lineage.chain,
            depth: head.lineage.depth,
            customer: ANY_CUSTOMER.into(),
            deadline,
        };
        let mut verdicts = Vec::new();
        state.admission.offer(now, ticket, &mut verdicts);
        state.deliver_verdicts(verdicts);
        if state.rate_limit_wakeup().is_some() {
            self.waits_for_rate_limit.notify_one();
        }
        Ok((id, rx))
    }

    /// Time after which the caller of a new chain may retry, if the chain is refused because its
    /// calls would most likely fail.
    fn chain_refusal(
        &self,
        now: Duration,
        state: &mut GateState,
        head: &MeshAttempt,
    ) -> Option<Duration> {
        let Lineage { importance, chain, .. } = head.lineage;
        if head.lineage.is_call() {
            return None;
        }
        let completion_ratio = self.downstream.completion_ratio(head.lineage.class());
        state.chain_admission.refusal(now, importance, chain, completion_ratio)
    }

    /// Repeats the checks before the run: while the request waited, the target may have left or the
    /// owner may have sealed the attempt.
    fn begin_run(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<RunStart, AttemptOutcome> {
        let now = self.clock.now();
        let mut state = self.lock();
        let refusal = state.refusal_reason(head, digest);
        let expired = (deadline <= now).then_some(ErrorKind::DeadlineTooShort);
        if let Some(error) = refusal.or(expired) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
        }
        if !state.ledger.start(head.id) {
            return Err(refused(ErrorKind::Overloaded, None));
        }
        let target = state.registry.serving().ok_or_else(|| refused(ErrorKind::NoTarget, None))?;
        let (instance, process_started) = (target.instance.clone(), target.started);
        Ok(RunStart { instance, process_started, digest, at: now, time_left: deadline - now })
    }

    async fn run(
        &self,
        mut slot: SlotGuard,
        start: RunStart,
        head: MeshAttempt,
        body: Bytes,
    ) -> (AttemptReply, Bytes) {
        let run = self.client.run(&start.instance, &head, start.time_left, body);
        let run = tokio::time::timeout(start.time_left, run).await;
        let TargetRun { result, statement } = run.unwrap_or_else(|_| TargetResult::TimedOut.into());
        if let Some(statement) = statement {
            self.record_statement(&start, statement);
        }
        slot.record_end(self.run_outcome(&result));
        drop(slot);
        self.record_result(&head, start.digest, &result);
        self.log_run(&start, &head, &result);
        let (outcome, headers, body) = match result {
            TargetResult::Answered { status, headers, body } => {
                (self.outcome_for_status(status), headers, body)
            }
            TargetResult::Rejected => (AttemptOutcome::RejectedByTarget, Vec::new(), Bytes::new()),
            TargetResult::WrongInstance | TargetResult::Unreachable(_) => {
                (refused(ErrorKind::NoTarget, None), Vec::new(), Bytes::new())
            }
            TargetResult::NoConnectionLeft => {
                (refused(ErrorKind::Overloaded, None), Vec::new(), Bytes::new())
            }
            TargetResult::Unsendable(_) => {
                (refused(ErrorKind::MalformedRequest, None), Vec::new(), Bytes::new())
            }
            TargetResult::Unknown(_) | TargetResult::TimedOut => {
                (AttemptOutcome::Unknown, Vec::new(), Bytes::new())
            }
        };
        (AttemptReply { headers, ..self.reply(&head, outcome) }, body)
    }

    /// Outcome of a run that the target answered with `status`.
    fn outcome_for_status(&self, status: u16) -> AttemptOutcome {
        if FAILED_STATUSES.contains(&status) && self.has_overloaded_callees() {
            return AttemptOutcome::FailedDownstream(status);
        }
        AttemptOutcome::Answered(status)
    }

    fn record_result(&self, head: &MeshAttempt, digest: ContentDigest, result: &TargetResult) {
        let now = self.clock.now();
        let has_overloaded_callees = self.has_overloaded_callees();
        let mut state = self.lock();
        match result {
            TargetResult::Answered { status, .. } => {
                state.suspects.record_answered(digest);
                let failed = FAILED_STATUSES.contains(status);
                // With overloaded callees another target would fail as well.
                if !failed || !has_overloaded_callees {
                    state.failures.record(now, failed);
                }
            }
            TargetResult::Rejected => state.failures.record(now, true),
            TargetResult::Unknown(_) => {
                state.suspects.record_interrupted(now, digest);
                state.failures.record(now, true);
            }
            TargetResult::TimedOut => state.suspects.record_interrupted(now, digest),
            TargetResult::NoConnectionLeft | TargetResult::Unsendable(_) => {}
            TargetResult::WrongInstance | TargetResult::Unreachable(_) => {
                let request = &head.request_id;
                let reason = result.reason();
                log_event!(LogEvent::TargetClosed, "reason={reason:?} request={request}");
                state.registry.mark_unreachable();
                let target = state.registry.current().filter(|it| !it.is_draining);
                if let Some(started) = target.map(|it| it.started) {
                    state.record_crash(now, started, "target accepts no connections");
                    self.notify_crash();
                }
            }
        }
    }

    /// Starts or sheds requests that wait for the rate limit of the target when it is time, for as
    /// long as the node runs.
    pub(super) async fn serve_rate_limit(self: Arc<Gate>) {
        loop {
            let wakeup = self.lock().rate_limit_wakeup();
            let Some(wakeup) = wakeup else {
                self.waits_for_rate_limit.notified().await;
                continue;
            };
            let wait = wakeup.saturating_sub(self.clock.now()).max(MIN_TICK_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep(wait) => self.lock().tick(self.clock.now()),
                () = self.waits_for_rate_limit.notified() => {}
            }
        }
    }

    /// Resolves once the target crashed; returns the requests suspected of it.
    pub(super) async fn next_crash_suspicions(&self) -> Vec<Suspicion> {
        self.crash_recorded.notified().await;
        std::mem::take(&mut self.lock().unsent_suspicions)
    }

    /// Number of requests that are refused because they crash targets.
    pub(super) fn blocked_request_count(&self) -> usize {
        self.lock().suspects.count_at_crash_limit()
    }

    /// All requests suspected of crashing targets.
    pub(super) fn known_suspects(&self) -> Vec<Suspicion> {
        self.lock().suspects.suspicions()
    }

    /// Merges another gate's record of requests that crash targets.
    pub(super) fn merge_suspicions(&self, suspicions: &[Suspicion]) {
        let now = self.clock.now();
        self.lock().suspects.merge_remote(now, suspicions);
    }

    /// How a run counts for the concurrency limit. A failure lowers the limit only if callees are
    /// overloaded or the time ran out; targets also reject and fail at random.
    fn run_outcome(&self, result: &TargetResult) -> RunOutcome {
        match result {
            TargetResult::Answered { status, .. } if !FAILED_STATUSES.contains(status) => {
                RunOutcome::Answered
            }
            TargetResult::Answered { status: 504, .. } => RunOutcome::Failed,
            TargetResult::Answered { .. } if self.has_overloaded_callees() => RunOutcome::Failed,
            TargetResult::TimedOut => RunOutcome::Failed,
            _ => RunOutcome::Cancelled,
        }
    }

    /// Removes a request from the queue or frees its slot.
    pub(super) fn release(&self, id: StreamId, started: Option<Duration>, outcome: RunOutcome) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&id);
        if let Some(run) = state.runs.remove(id) {
            state.call_stats.record_run(now);
            if outcome == RunOutcome::Answered {
                self.downstream.record_run(run.lineage.class(), &run.calls);
            }
        }
        if state.admission.remove(now, id) {
            return;
        }
        let service_time = started.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        let mut verdicts = Vec::new();
        let makes_calls = state.call_stats.makes_calls(now);
        state.admission.set_makes_calls(makes_calls);
        state.admission.record_finished(now, id, service_time, outcome, &mut verdicts);
        state.deliver_verdicts(verdicts);
        state.log_limit(now);
    }

    fn refuse(&self, head: &MeshAttempt, refusal: AttemptOutcome) -> (AttemptReply, Bytes) {
        self.log_refusal(head, &refusal);
        (self.reply(head, refusal), Bytes::new())
    }

    fn reply(&self, head: &MeshAttempt, outcome: AttemptOutcome) -> AttemptReply {
        let statement = self.statement_for_owner(head);
        let reply = self.reply_without_statement(head.lineage.class(), outcome);
        AttemptReply { statement, ..reply }
    }

    fn reply_without_statement(
        &self,
        class: RequestClass,
        outcome: AttemptOutcome,
    ) -> AttemptReply {
        let failure_ratio = 1.0 - self.downstream.completion_ratio(class);
        let expected_failure_permille = (failure_ratio * 1000.0) as u16;
        let load = GateLoad { expected_failure_permille, ..self.load() };
        AttemptReply { outcome, headers: Vec::new(), load, routes: 0, statement: None }
    }

    pub(super) fn notify_crash(&self) {
        self.crash_recorded.notify_one();
    }

    pub(super) fn close_idle_connections(&self) {
        self.client.close_idle_connections();
    }

    /// Current load of the gate, without what depends on the class of a request.
    pub(super) fn load(&self) -> GateLoad {
        let now = self.clock.now();
        let state = self.lock();
        let leaving = state.is_leaving || state.registry.serving().is_none();
        let failing_permille = state.failures.permille(now);
        let overload_failure_permille = state.call_stats.overload_failure_permille(now);
        let calls_per_100_runs = state.call_stats.calls_per_100_runs(now);
        GateLoad {
            leaving,
            failing_permille,
            overload_failure_permille,
            calls_per_100_runs,
            ..state.admission.load(now)
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(error: ErrorKind, retry_after: Option<Duration>) -> AttemptOutcome {
    AttemptOutcome::RefusedByGate { error, retry_after }
}
