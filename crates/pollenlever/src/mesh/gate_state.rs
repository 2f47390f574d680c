use std::collections::HashMap;
use std::time::Duration;

use pollenlever_core::admission::{
    Admission, AdmissionSettings, LimitKind, PriorityAdmission, Verdict,
};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{ContentDigest, StreamId};
use pollenlever_core::mesh::{
    AttemptLedger, Callees, CrashSuspects, FailureRate, MeshAttempt, RunningRequests, StartTime,
    TargetRegistry,
};
use pollenlever_core::message::Suspicion;
use tokio::sync::oneshot;

use super::log_event::{LogEvent, log_event};

/// Shortest time between two lines about the limit of concurrent runs.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the logged limit by which it must differ to be logged again.
const LIMIT_LOG_PART: u32 = 3;

/// What a gate knows about its target and the requests at it.
pub(super) struct GateState {
    pub(super) registry: TargetRegistry,
    pub(super) admission: PriorityAdmission,
    pub(super) waiting: HashMap<StreamId, oneshot::Sender<Verdict>>,
    pub(super) ledger: AttemptLedger,
    pub(super) failures: FailureRate,
    pub(super) callees: Callees,
    pub(super) runs: RunningRequests,
    pub(super) suspects: CrashSuspects,
    /// Crashes that other gates have not been told of.
    pub(super) crash_news: Vec<Suspicion>,
    pub(super) is_leaving: bool,
    pub(super) last_id: StreamId,
    /// Limit of concurrent runs that was logged last, and when.
    pub(super) logged_limit: (u32, Duration),
}

impl Default for GateState {
    fn default() -> GateState {
        GateState {
            registry: TargetRegistry::default(),
            admission: PriorityAdmission::new(AdmissionSettings {
                limit: LimitKind::Failures,
                ..AdmissionSettings::default()
            }),
            waiting: HashMap::new(),
            ledger: AttemptLedger::default(),
            failures: FailureRate::default(),
            callees: Callees::default(),
            runs: RunningRequests::default(),
            suspects: CrashSuspects::default(),
            crash_news: Vec::new(),
            is_leaving: false,
            last_id: 0,
            logged_limit: (0, Duration::ZERO),
        }
    }
}

impl GateState {
    /// Why a request gets no place at the gate.
    pub(super) fn refusal(&self, head: &MeshAttempt, digest: ContentDigest) -> Option<ErrorKind> {
        if self.is_leaving {
            return Some(ErrorKind::Leaving);
        }
        if self.suspects.is_convicted(digest) {
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

    /// Blames the target's crash on the requests that it ran.
    pub(super) fn note_crash(&mut self, now: Duration, started: StartTime, reason: &str) {
        let in_flight: Vec<ContentDigest> = self.runs.digests().collect();
        let news = self.suspects.target_crashed(now, started, in_flight);
        if !news.is_empty() {
            log_event!(LogEvent::TargetCrashed, "reason={reason:?} suspects={}", news.len());
        }
        self.crash_news.extend(news);
    }

    /// Logs the limit of concurrent runs once it differs much from what was logged last.
    pub(super) fn log_limit(&mut self, now: Duration) {
        let limit = self.admission.load(now).limit;
        let (logged, at) = self.logged_limit;
        let is_due = now.saturating_sub(at) >= LIMIT_LOG_INTERVAL;
        if !is_due || limit.abs_diff(logged) <= logged / LIMIT_LOG_PART {
            return;
        }
        self.logged_limit = (limit, now);
        log_event!(
            LogEvent::LimitChanged,
            "limit={limit} before={logged} strained_permille={} failing_permille={}",
            self.callees.strained_permille(now),
            self.failures.permille(now)
        );
    }

    /// Refuses what waits for a slot: the target gets no new work.
    pub(super) fn refuse_waiting(&mut self) {
        for (id, tx) in self.waiting.drain() {
            let (error, retry_after) = (ErrorKind::Leaving, Duration::ZERO);
            let _ = tx.send(Verdict::Shed { id, error, retry_after });
        }
    }

    /// Passes verdicts on to those that wait. A verdict for one that has just given up is dropped;
    /// its guard gives the slot back.
    pub(super) fn tell(&mut self, verdicts: Vec<Verdict>) {
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
