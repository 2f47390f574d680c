use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::admission::Admission;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::AttemptId;
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, AttemptStage, CrashSuspects, MeshAttempt, RequestClass,
    RunningRequest,
};
use pollenlever_core::message::GateLoad;
use tokio::sync::Notify;

use super::HeaderNames;
use super::downstream::Downstream;
use super::gate_shared::GateShared;
use super::gate_state::GateState;
use super::mesh_metrics::MeshMetrics;
use super::request_log::RequestLog;
use super::target_client::TargetClient;
use crate::bounds::MessageMemory;
use crate::node::Clock;

/// Admits requests to the target, the server process beside this node, and runs them there.
pub(super) struct Gate {
    pub(super) clock: Clock,
    pub(super) client: TargetClient,
    /// Limits log lines about single attempts.
    pub(super) log: RequestLog,
    pub(super) metrics: MeshMetrics,
    /// Signalled when a crash of the target was recorded.
    pub(super) crash_recorded: Notify,
    /// Signalled when the target stated that it leaves, and the other nodes have to be told.
    pub(super) target_left: Notify,
    /// Signalled when a request waits for the rate limit or the pace of the target.
    pub(super) queue_changed: Notify,
    pub(super) downstream: Arc<Downstream>,
    pub(super) shared: Arc<GateShared>,
}

impl Gate {
    pub(super) fn new(
        target: SocketAddr,
        names: HeaderNames,
        clock: Clock,
        metrics: MeshMetrics,
        downstream: Arc<Downstream>,
        memory: MessageMemory,
    ) -> Gate {
        let shared = Arc::new(GateShared::new(clock, Arc::clone(&downstream)));
        Gate {
            clock,
            client: TargetClient::new(target, names, memory),
            log: RequestLog::default(),
            metrics,
            crash_recorded: Notify::new(),
            target_left: Notify::new(),
            queue_changed: Notify::new(),
            downstream,
            shared,
        }
    }

    /// Sets the number of connections that the target accepts; 0 means unlimited.
    pub(super) fn set_max_connections(&self, max: u32) {
        self.client.pool().set_max_connections(max);
    }

    /// Sets whether a pace of started targets is determined.
    pub(super) fn set_start_pace(&self, is_on: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.pace.set_on(is_on);
        state.apply_pace(now);
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
        let run = RunningRequest {
            id,
            workspace: head.workspace.clone(),
            lineage: head.lineage,
            deadline,
            digest,
            calls: BTreeMap::new(),
        };
        {
            let mut state = self.lock();
            state.runs.insert(slot.id(), run);
            state.pace.record_start(self.clock.now(), slot.id(), head.lineage.class());
        }
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

    fn refuse(&self, head: &MeshAttempt, refusal: AttemptOutcome) -> (AttemptReply, Bytes) {
        self.log_refusal(head, &refusal);
        (self.reply(head, refusal), Bytes::new())
    }

    pub(super) fn reply(&self, head: &MeshAttempt, outcome: AttemptOutcome) -> AttemptReply {
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
        let admitted_permille = self.admitted_permille(class);
        let load = GateLoad { expected_failure_permille, admitted_permille, ..self.load() };
        AttemptReply { outcome, headers: Vec::new(), load, routes: 0, statement: None }
    }

    /// Share of the chains for which the target and the services that it calls have room, in thousandths.
    fn admitted_permille(&self, class: RequestClass) -> u16 {
        let share = self.lock().admission.admitted_share(class.importance);
        let share = share.min(self.downstream.admitted_share(class));
        ((share * 1000.0) as u16).max(1)
    }

    pub(super) fn close_idle_connections(&self) {
        self.client.pool().close_idle_connections();
    }

    /// Current load of the gate, without what depends on the class of a request.
    pub(super) fn load(&self) -> GateLoad {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply_pace(now);
        let start_share_permille =
            state.pace.share().map_or(0, |it| (it * 1000.0).ceil().max(1.0) as u16);
        let leaving = state.is_leaving || state.registry.serving().is_none();
        let failing_permille = state.failures.permille(now);
        let overload_failure_permille = state.call_stats.overload_failure_permille(now);
        let calls_per_100_runs = state.call_stats.calls_per_100_runs(now);
        GateLoad {
            start_share_permille,
            slowdown_percent: state.slowdown_percent(now),
            leaving,
            failing_permille,
            overload_failure_permille,
            calls_per_100_runs,
            ..state.admission.load(now)
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GateState> {
        self.shared.lock()
    }
}

pub(super) fn refused(error: ErrorKind, retry_after: Option<Duration>) -> AttemptOutcome {
    AttemptOutcome::RefusedByGate { error, retry_after }
}
