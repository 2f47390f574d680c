use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use pollenlever_core::admission::{Admission, RunOutcome, Ticket, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, ContentDigest, StreamId};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, AttemptStage, CrashSuspects, InstanceId, Lifetime, Lineage,
    MeshAttempt, RegistryChange, RunningRequest, StartTime, TargetReport,
};
use pollenlever_core::message::{GateLoad, Suspicion};
use tokio::sync::{Notify, oneshot};

use super::HeaderNames;
use super::gate_state::GateState;
use super::log_event::{LogEvent, log_event};
use super::mesh_metrics::MeshMetrics;
use super::request_log::RequestLog;
use super::slot_guard::SlotGuard;
use super::target_client::TargetClient;
use super::target_result::TargetResult;
use crate::node::Clock;

/// Customer of all requests: the mesh tells none apart.
const ANY_CUSTOMER: &str = "any";
/// Share of a target's calls that fail under overload, in thousandths, from which a failure of the
/// target is put down to it.
const STRAINED_PERMILLE: u16 = 20;
/// Statuses by which a target fails a request that it ran.
const FAILED_STATUSES: std::ops::RangeInclusive<u16> = 500..=599;

/// The only way to the target beside this node.
pub(super) struct Gate {
    pub(super) clock: Clock,
    client: TargetClient,
    /// Bounds lines about single attempts.
    pub(super) log: RequestLog,
    /// Counters and histograms.
    pub(super) metrics: MeshMetrics,
    /// Told when there is news of a crash.
    crash_noted: Notify,
    state: Mutex<GateState>,
}

/// What an attempt needs once it has a slot.
pub(super) struct Start {
    pub(super) instance: InstanceId,
    /// Identifies the content of the request.
    pub(super) digest: ContentDigest,
    /// Start of the run, by the node's clock.
    pub(super) at: Duration,
    /// Time from then until the request's deadline.
    pub(super) time_left: Duration,
}

impl Gate {
    pub(super) fn new(
        target: SocketAddr,
        names: HeaderNames,
        clock: Clock,
        metrics: MeshMetrics,
    ) -> Gate {
        let state = GateState::default();
        Gate {
            clock,
            client: TargetClient::new(target, names),
            log: RequestLog::default(),
            metrics,
            crash_noted: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Takes the number of connections that the target accepts; 0 for any number.
    pub(super) fn set_max_connections(&self, max: u32) {
        self.client.set_max_connections(max);
    }

    /// Takes what the target says about itself.
    pub(super) fn report(&self, report: TargetReport) -> RegistryChange {
        let now = self.clock.now();
        let slots = report.slots;
        let mut state = self.lock();
        let before = state.registry.serving().map(|it| it.instance.clone());
        let earlier = state.registry.current().filter(|it| !it.is_draining).map(|it| it.started);
        let started = report.started;
        let change = state.registry.report(now, report);
        let crashed = earlier.filter(|it| change != RegistryChange::Stale && *it < started);
        if let Some(earlier) = crashed {
            state.note_crash(now, earlier, "target has started again");
            self.crash_noted.notify_one();
        }
        match change {
            RegistryChange::Opened => {
                state.admission.set_slots(now, slots.max(1));
                if before != state.registry.serving().map(|it| it.instance.clone()) {
                    self.client.forget_connections();
                }
            }
            RegistryChange::Closed => state.refuse_waiting(),
            RegistryChange::Refreshed | RegistryChange::Stale => {}
        }
        change
    }

    /// Takes the word of the target that it is gone.
    pub(super) fn leave(
        &self,
        instance: &InstanceId,
        started: Option<StartTime>,
    ) -> RegistryChange {
        let mut state = self.lock();
        let change = state.registry.leave(instance, started, unix_ms());
        if change == RegistryChange::Closed {
            state.refuse_waiting();
        }
        change
    }

    /// Remembers a process of the target that left before this node started.
    pub(super) fn note_gone(&self, instance: InstanceId, started: StartTime) {
        self.lock().registry.note_gone((instance, started));
    }

    /// The target that left last.
    pub(super) fn last_gone(&self) -> Option<Lifetime> {
        self.lock().registry.last_gone().cloned()
    }

    /// Refuses new work from now on: the node is leaving.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        state.is_leaving = true;
        state.refuse_waiting();
    }

    /// The target that reported last, and whether it takes new work.
    pub(super) fn target(&self) -> Option<(TargetReport, bool)> {
        let state = self.lock();
        let serves = state.registry.serving().is_some() && !state.is_leaving;
        state.registry.current().cloned().map(|it| (it, serves))
    }

    /// Makes sure that an attempt is never started. Returns whether that is so.
    pub(super) fn seal(&self, attempt: AttemptId) -> bool {
        self.lock().ledger.seal(attempt) == AttemptStage::Sealed
    }

    /// Runs an attempt on the target. If the future is dropped, an idempotent request is broken off
    /// and any other runs to its end.
    pub(super) async fn attempt(
        self: &Arc<Gate>,
        head: MeshAttempt,
        body: Bytes,
    ) -> (AttemptReply, Bytes) {
        let deadline = self.clock.now() + head.time_left;
        let digest = CrashSuspects::digest(&head, &body);
        let mut slot = match self.enter(&head, digest, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return self.refuse(&head, refusal),
        };
        let start = match self.start(&head, digest, deadline) {
            Ok(start) => start,
            Err(refusal) => return self.refuse(&head, refusal),
        };
        slot.started(self.clock.now());
        let id = head.request_id.clone();
        let run = RunningRequest { id, lineage: head.lineage, deadline, digest };
        self.lock().runs.insert(slot.id(), run);
        if head.idempotent {
            return self.run(slot, start, head, body).await;
        }
        let gate = Arc::clone(self);
        let run = tokio::spawn(async move { gate.run(slot, start, head, body).await });
        run.await.unwrap_or_else(|err| {
            log::error!("run ended without a result reason={:?}", err.to_string());
            self.reply(AttemptOutcome::Unknown)
        })
    }

    /// Waits for a slot.
    async fn enter(
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
            None => Err(refused(ErrorKind::Overloaded, None)),
        }
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
        if let Some(error) = state.refusal(head, digest) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
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
        state.tell(verdicts);
        Ok((id, rx))
    }

    /// Checks once more whether the request may go to the target: while it waited the target may
    /// have left, or the owner may have given up.
    fn start(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<Start, AttemptOutcome> {
        let now = self.clock.now();
        let mut state = self.lock();
        let refusal = state.refusal(head, digest);
        let expired = (deadline <= now).then_some(ErrorKind::DeadlineTooShort);
        if let Some(error) = refusal.or(expired) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
        }
        if !state.ledger.start(head.id) {
            return Err(refused(ErrorKind::Overloaded, None));
        }
        let serving = state.registry.serving();
        let instance = serving.map(|it| it.instance.clone());
        let instance = instance.ok_or_else(|| refused(ErrorKind::NoTarget, None))?;
        Ok(Start { instance, digest, at: now, time_left: deadline - now })
    }

    async fn run(
        &self,
        mut slot: SlotGuard,
        start: Start,
        head: MeshAttempt,
        body: Bytes,
    ) -> (AttemptReply, Bytes) {
        let run = self.client.run(&start.instance, &head, start.time_left, body);
        let result = match tokio::time::timeout(start.time_left, run).await {
            Ok(result) => result,
            Err(_) => TargetResult::TimedOut,
        };
        slot.ended(self.outcome_of(&result));
        drop(slot);
        self.note_result(&head, start.digest, &result);
        self.log_run(&start, &head, &result);
        let (outcome, headers, body) = match result {
            TargetResult::Answered { status, headers, body } => {
                (self.answered(status), headers, body)
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
        let (reply, _) = self.reply(outcome);
        (AttemptReply { headers, ..reply }, body)
    }

    /// The outcome of a run that the target answered.
    fn answered(&self, status: u16) -> AttemptOutcome {
        if FAILED_STATUSES.contains(&status) && self.is_strained() {
            return AttemptOutcome::FailedBeneath(status);
        }
        AttemptOutcome::Answered(status)
    }

    /// Whether services that the target calls are overloaded.
    fn is_strained(&self) -> bool {
        self.lock().callees.strained_permille(self.clock.now()) >= STRAINED_PERMILLE
    }

    fn note_result(&self, head: &MeshAttempt, digest: ContentDigest, result: &TargetResult) {
        let now = self.clock.now();
        let mut state = self.lock();
        match result {
            TargetResult::Answered { status, .. } => {
                state.suspects.answered(digest);
                let failed = FAILED_STATUSES.contains(status);
                // Another target would fail as well if a service further down is overloaded.
                if !failed || state.callees.strained_permille(now) < STRAINED_PERMILLE {
                    state.failures.add(now, failed);
                }
            }
            TargetResult::Rejected => state.failures.add(now, true),
            TargetResult::Unknown(_) => {
                state.suspects.broken(now, digest);
                state.failures.add(now, true);
            }
            TargetResult::TimedOut => state.suspects.broken(now, digest),
            TargetResult::NoConnectionLeft | TargetResult::Unsendable(_) => {}
            TargetResult::WrongInstance | TargetResult::Unreachable(_) => {
                let request = &head.request_id;
                let reason = result.reason();
                log_event!(LogEvent::TargetClosed, "reason={reason:?} request={request}");
                state.registry.mark_unreachable();
                let target = state.registry.current().filter(|it| !it.is_draining);
                if let Some(started) = target.map(|it| it.started) {
                    state.note_crash(now, started, "target takes no connections");
                    self.crash_noted.notify_one();
                }
            }
        }
    }

    /// Resolves once the target has crashed with requests in flight; tells which.
    pub(super) async fn next_crash(&self) -> Vec<Suspicion> {
        self.crash_noted.notified().await;
        std::mem::take(&mut self.lock().crash_news)
    }

    /// Requests that are refused since they crash targets.
    pub(super) fn convicted(&self) -> usize {
        self.lock().suspects.convicted()
    }

    /// What is held against requests since targets crashed.
    pub(super) fn known_suspects(&self) -> Vec<Suspicion> {
        self.lock().suspects.known()
    }

    /// Takes what another gate says about requests that crash targets.
    pub(super) fn heard_of_crashes(&self, news: &[Suspicion]) {
        let now = self.clock.now();
        self.lock().suspects.heard(now, news);
    }

    /// Time since the target's last report.
    pub(super) fn report_age(&self) -> Duration {
        self.clock.now().saturating_sub(self.lock().registry.reported_at())
    }

    /// How a run counts for the limit of concurrent runs. A failure lowers it if services further
    /// down are overloaded or the time ran out; a target also rejects and fails at random.
    fn outcome_of(&self, result: &TargetResult) -> RunOutcome {
        match result {
            TargetResult::Answered { status, .. } if !FAILED_STATUSES.contains(status) => {
                RunOutcome::Answered
            }
            TargetResult::Answered { status: 504, .. } => RunOutcome::Failed,
            TargetResult::Answered { .. } if self.is_strained() => RunOutcome::Failed,
            TargetResult::TimedOut => RunOutcome::Failed,
            _ => RunOutcome::Cancelled,
        }
    }

    /// Notes how a call of the target ended. `beneath` is the number of further calls it caused.
    pub(super) fn note_call(&self, beneath: f64, is_strained: bool) {
        let now = self.clock.now();
        self.lock().callees.add_call(now, beneath, is_strained);
    }

    /// Chance that a call of the target is made by a run that is itself a repeat.
    pub(super) fn repeat_share(&self) -> f32 {
        self.lock().runs.repeat_share()
    }

    /// Latest deadline of a run of the target.
    pub(super) fn last_run_deadline(&self) -> Option<Duration> {
        self.lock().runs.last_deadline()
    }

    /// Lineage of a call of the target, if its id tells to which run it belongs.
    pub(super) fn lineage_of_call(&self, id: &str) -> Option<Lineage> {
        self.lock().runs.parent_of(id).map(|it| it.lineage.call())
    }

    /// Gives a place at the gate back.
    pub(super) fn release(&self, id: StreamId, started: Option<Duration>, outcome: RunOutcome) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&id);
        if state.runs.remove(id) {
            state.callees.add_run(now);
        }
        if state.admission.remove(now, id) {
            return;
        }
        let service_time = started.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        let mut verdicts = Vec::new();
        let makes_calls = state.callees.makes_calls(now);
        state.admission.note_calls(makes_calls);
        state.admission.finished(now, id, service_time, outcome, &mut verdicts);
        state.tell(verdicts);
        state.log_limit(now);
    }

    fn refuse(&self, head: &MeshAttempt, refusal: AttemptOutcome) -> (AttemptReply, Bytes) {
        self.log_refusal(head, &refusal);
        self.reply(refusal)
    }

    fn reply(&self, outcome: AttemptOutcome) -> (AttemptReply, Bytes) {
        let reply = AttemptReply { outcome, headers: Vec::new(), load: self.load(), routes: 0 };
        (reply, Bytes::new())
    }

    /// Load of the gate, for the owners of requests.
    pub(super) fn load(&self) -> GateLoad {
        let now = self.clock.now();
        let state = self.lock();
        let leaving = state.is_leaving || state.registry.serving().is_none();
        let failing_permille = state.failures.permille(now);
        let strained_permille = state.callees.strained_permille(now);
        let calls_percent = state.callees.calls_percent(now);
        GateLoad {
            leaving,
            failing_permille,
            strained_permille,
            calls_percent,
            ..state.admission.load(now)
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unix_ms() -> StartTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as StartTime
}

fn refused(error: ErrorKind, retry_after: Option<Duration>) -> AttemptOutcome {
    AttemptOutcome::RefusedByGate { error, retry_after }
}
