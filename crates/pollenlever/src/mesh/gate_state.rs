use std::collections::HashMap;
use std::time::Duration;

use pollenlever_core::admission::{
    Admission, AdmissionSettings, LimitKind, PriorityAdmission, Verdict,
};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{ContentDigest, StreamId};
use pollenlever_core::mesh::{
    AttemptLedger, CallStats, ChainAdmission, CrashSuspects, FailureRate, LatestSlowdown,
    LatestStatement, MeshAttempt, ProcessStatement, RegistryChange, RunningRequests, StartTime,
    TargetRegistry, TargetReport, TargetStatement,
};
use pollenlever_core::message::Suspicion;
use tokio::sync::oneshot;

use super::gate_pace::GatePace;
use super::log_event::{LogEvent, log_event};
use super::run_start::RunStart;
use super::statement_log::log_statement;

/// Shortest time between two log lines about the concurrency limit.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The limit is logged again once it differs by more than the logged limit divided by this.
const LIMIT_LOG_DIVISOR: u32 = 3;

/// State of a gate: its target, and the requests that are queued or running.
pub(super) struct GateState {
    pub(super) registry: TargetRegistry,
    /// What the target states about itself in its answers.
    pub(super) statement: LatestStatement,
    /// Slowdown that the target reports in its answers.
    pub(super) slowdown: LatestSlowdown,
    is_rate_limited: bool,
    pub(super) admission: PriorityAdmission,
    /// Pace of a started target.
    pub(super) pace: GatePace,
    pub(super) chain_admission: ChainAdmission,
    pub(super) waiting: HashMap<StreamId, oneshot::Sender<Verdict>>,
    pub(super) ledger: AttemptLedger,
    pub(super) failures: FailureRate,
    pub(super) call_stats: CallStats,
    pub(super) runs: RunningRequests,
    pub(super) suspects: CrashSuspects,
    /// Suspected requests that other gates have not been sent yet.
    pub(super) unsent_suspicions: Vec<Suspicion>,
    pub(super) is_leaving: bool,
    pub(super) last_id: StreamId,
    /// Concurrency limit that was logged last, and when.
    pub(super) logged_limit: (u32, Duration),
}

impl Default for GateState {
    fn default() -> GateState {
        GateState {
            registry: TargetRegistry::default(),
            statement: LatestStatement::default(),
            slowdown: LatestSlowdown::default(),
            is_rate_limited: false,
            admission: PriorityAdmission::new(AdmissionSettings {
                limit: LimitKind::Failures,
                ..AdmissionSettings::default()
            }),
            pace: GatePace::default(),
            chain_admission: ChainAdmission::default(),
            waiting: HashMap::new(),
            ledger: AttemptLedger::default(),
            failures: FailureRate::default(),
            call_stats: CallStats::default(),
            runs: RunningRequests::default(),
            suspects: CrashSuspects::default(),
            unsent_suspicions: Vec::new(),
            is_leaving: false,
            last_id: 0,
            logged_limit: (0, Duration::ZERO),
        }
    }
}

impl GateState {
    /// Why a request is not admitted; `None` if it may be.
    pub(super) fn refusal_reason(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
    ) -> Option<ErrorKind> {
        if self.is_leaving {
            return Some(ErrorKind::Leaving);
        }
        if self.suspects.has_reached_crash_limit(digest) {
            return Some(ErrorKind::Suspect);
        }
        match self.registry.serving() {
            Some(target) if target.service == head.service => None,
            Some(_) => Some(ErrorKind::NoTarget),
            None if self.registry.current().is_some_and(|it| it.is_draining) => {
                Some(ErrorKind::Leaving)
            }
            None => Some(ErrorKind::NoTarget),
        }
    }

    /// Sets the number of requests that the target runs at once.
    pub(super) fn set_slots(&mut self, now: Duration, slots: u32) {
        self.admission.set_slots(now, slots.max(1));
    }

    /// Begins the pace of the target if it has just started; `unix_time_ms` is the time by the clock from
    /// which targets take their start time.
    pub(super) fn open_pace(&mut self, now: Duration, unix_time_ms: StartTime) {
        let Some(report) = self.registry.current().cloned() else { return };
        let age = Duration::from_millis(unix_time_ms.saturating_sub(report.started));
        self.pace.open(now, &report, age);
        self.apply_pace(now);
    }

    /// Applies the pace of a started target to admission.
    pub(super) fn apply_pace(&mut self, now: Duration) {
        self.pace.advance(now);
        self.admission.set_start_pace(self.pace.limit());
    }

    /// Records a crash of the target and marks the requests that were in flight as suspects.
    pub(super) fn record_crash(&mut self, now: Duration, started: StartTime, reason: &str) {
        self.pace.close(now, true);
        let in_flight: Vec<ContentDigest> = self.runs.digests().collect();
        let suspicions = self.suspects.record_target_crash(now, started, in_flight);
        if !suspicions.is_empty() {
            log_event!(LogEvent::TargetCrashed, "reason={reason:?} suspects={}", suspicions.len());
        }
        self.unsent_suspicions.extend(suspicions);
    }

    /// Logs the concurrency limit once it differs enough from the one logged last.
    pub(super) fn log_limit(&mut self, now: Duration) {
        let limit = self.admission.load(now).limit;
        let (logged, at) = self.logged_limit;
        let is_due = now.saturating_sub(at) >= LIMIT_LOG_INTERVAL;
        if !is_due || limit.abs_diff(logged) <= logged / LIMIT_LOG_DIVISOR {
            return;
        }
        self.logged_limit = (limit, now);
        log_event!(
            LogEvent::LimitChanged,
            "limit={limit} before={logged} strained_permille={} failing_permille={}",
            self.call_stats.overload_failure_permille(now),
            self.failures.permille(now)
        );
    }

    /// Whether a run is on the present process of the target.
    pub(super) fn is_on_present_process(&self, start: &RunStart) -> bool {
        let is_of_start = |it: &TargetReport| {
            (&it.instance, it.started) == (&start.instance, start.process_started)
        };
        self.registry.current().is_some_and(is_of_start)
    }

    /// Slowdown that the target reports, in percent; 0 if it has reported none recently.
    pub(super) fn slowdown_percent(&self, now: Duration) -> u16 {
        let target = self.registry.current();
        target.map_or(0, |it| self.slowdown.percent(now, &it.instance, it.started))
    }

    /// What the target stated about itself last.
    pub(super) fn stated(&self) -> TargetStatement {
        let target = self.registry.current();
        target.map_or_else(TargetStatement::default, |it| {
            self.statement.get(&it.instance, it.started)
        })
    }

    /// Merges what an owner remembers of the target's statements, if it is of the present process.
    /// Returns the effect on the target's registration.
    pub(super) fn merge_remembered(
        &mut self,
        now: Duration,
        stated: Option<&ProcessStatement>,
    ) -> RegistryChange {
        let Some(stated) = stated else { return RegistryChange::Refreshed };
        let is_present =
            self.registry.current().is_some_and(|it| stated.is_of(&it.instance, it.started));
        if is_present && let Some(before) = self.statement.merge_remembered(stated) {
            log_statement(stated, before, "owner");
            return self.apply_statement(now);
        }
        RegistryChange::Refreshed
    }

    /// Acts on what the target stated last: its rate limit, and that it leaves. Returns the effect
    /// on the target's registration.
    pub(super) fn apply_statement(&mut self, now: Duration) -> RegistryChange {
        let stated = self.stated();
        self.is_rate_limited = stated.rate_limit.is_some();
        let mut verdicts = Vec::new();
        self.admission.set_rate_limit(now, stated.rate_limit, &mut verdicts);
        self.deliver_verdicts(verdicts);
        if !stated.is_leaving {
            return RegistryChange::Refreshed;
        }
        let change = self.registry.close_current();
        if change == RegistryChange::Closed {
            self.pace.close(now, false);
            self.refuse_waiting();
        }
        change
    }

    /// When a request that waits for the rate limit or above the pace has to be started or shed; `None` if
    /// none waits.
    pub(super) fn queue_wakeup(&self) -> Option<Duration> {
        let is_timed = self.is_rate_limited || self.pace.limit().is_some();
        is_timed.then(|| self.admission.next_wakeup()).flatten()
    }

    /// Starts or sheds waiting requests whose time has come.
    pub(super) fn tick(&mut self, now: Duration) {
        let mut verdicts = Vec::new();
        self.admission.tick(now, &mut verdicts);
        self.deliver_verdicts(verdicts);
    }

    /// Stops the use of the target, which leaves.
    pub(super) fn close_target(&mut self, now: Duration) {
        self.pace.close(now, false);
        self.refuse_waiting();
    }

    /// Refuses all queued requests, because the target accepts no new ones.
    pub(super) fn refuse_waiting(&mut self) {
        for (id, tx) in self.waiting.drain() {
            let (error, retry_after) = (ErrorKind::Leaving, Duration::ZERO);
            let _ = tx.send(Verdict::Shed { id, error, retry_after });
        }
    }

    /// Sends verdicts to the requests that wait for them. A verdict for a request that has just
    /// been cancelled is dropped; its guard frees the slot.
    pub(super) fn deliver_verdicts(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let id = match &verdict {
                Verdict::Run(id) => *id,
                Verdict::Shed { id, .. } => *id,
            };
            if let Some(tx) = self.waiting.remove(&id) {
                let _ = tx.send(verdict);
            }
        }
    }
}
