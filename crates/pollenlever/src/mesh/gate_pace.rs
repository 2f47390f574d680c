use std::collections::HashMap;
use std::time::Duration;

use pollenlever_core::admission::RunOutcome;
use pollenlever_core::id::{ServiceName, StreamId};
use pollenlever_core::mesh::{InstanceId, RequestClass, StartTime, TargetReport};
use pollenlever_core::pace::{EndedRun, OwnTime, PaceHistory, StartPace};

use super::log_event::{LogEvent, log_event};

/// Age of a process that the node meets for the first time from which it counts as warm: the node has
/// restarted, not the target.
const MAX_START_AGE: Duration = Duration::from_secs(10);
/// Time for which a call that does not tell its run makes the own times of all runs unknown.
const UNATTRIBUTED_TIME: Duration = Duration::from_secs(10);
/// The limit is logged again once it differs from the logged one by this factor.
const LOGGED_FACTOR: u32 = 2;

/// Pace of the target beside a gate, if the settings ask for it.
#[derive(Debug, Default)]
pub(super) struct GatePace {
    is_on: bool,
    process: Option<PacedProcess>,
    history: PaceHistory,
    /// Whether the node has seen the target stop taking work.
    has_closed: bool,
    runs: HashMap<StreamId, PacedRun>,
    /// When the target last made a call that does not tell its run, on the node's clock.
    unattributed_at: Option<Duration>,
}

#[derive(Debug)]
struct PacedProcess {
    instance: InstanceId,
    started: StartTime,
    service: ServiceName,
    slots: u32,
    pace: StartPace,
    is_closed: bool,
    logged_limit: u32,
    is_end_logged: bool,
}

#[derive(Debug)]
struct PacedRun {
    class: RequestClass,
    started: Duration,
    own: OwnTime,
    concurrency: u32,
    is_rejected: bool,
}

impl GatePace {
    /// Switches the pace on or off. It begins with the next process of the target.
    pub(super) fn set_on(&mut self, is_on: bool) {
        self.is_on = is_on;
        if !is_on {
            self.process = None;
            self.runs.clear();
        }
    }

    /// Begins the pace of a target that takes work from now on, unless it did so before. `age` is the time
    /// since its process started.
    pub(super) fn open(&mut self, now: Duration, report: &TargetReport, age: Duration) {
        if !self.is_on {
            return;
        }
        let is_same =
            |it: &PacedProcess| (&it.instance, it.started) == (&report.instance, report.started);
        if let Some(process) = self.process.as_mut().filter(|it| is_same(it) && !it.is_closed) {
            process.slots = report.slots.max(1);
            return process.pace.set_slots(report.slots.max(1));
        }
        if self.process.is_none() && !self.has_closed && age >= MAX_START_AGE {
            return;
        }
        self.close(now, false);
        if self.process.as_ref().is_some_and(|it| it.service != report.service) {
            self.history = PaceHistory::default();
        }
        self.begin(now, report, age);
    }

    fn begin(&mut self, now: Duration, report: &TargetReport, age: Duration) {
        let slots = report.slots.max(1);
        let pace = StartPace::new(now, slots, &self.history);
        let limit = pace.limit();
        let instance = &report.instance;
        let age_ms = age.as_millis();
        log_event!(
            LogEvent::PaceBegan,
            "instance={instance} limit={limit} slots={slots} age_ms={age_ms}"
        );
        self.process = Some(PacedProcess {
            instance: instance.clone(),
            started: report.started,
            service: report.service.clone(),
            slots,
            logged_limit: limit,
            is_end_logged: !pace.is_in_force(),
            pace,
            is_closed: false,
        });
    }

    /// Records that the process takes no more work. `has_crashed` is whether it ended without notice.
    pub(super) fn close(&mut self, now: Duration, has_crashed: bool) {
        self.has_closed = true;
        if let Some(process) = self.process.as_mut().filter(|it| !it.is_closed) {
            process.is_closed = true;
            self.history.record_end(now, &process.pace, has_crashed);
        }
    }

    pub(super) fn record_start(&mut self, now: Duration, id: StreamId, class: RequestClass) {
        if !self.is_on {
            return;
        }
        let concurrency = self.runs.len() as u32 + 1;
        let own = OwnTime::new(now);
        let run = PacedRun { class, started: now, own, concurrency, is_rejected: false };
        self.runs.insert(id, run);
        if let Some(process) = &mut self.process {
            process.pace.record_start(now, concurrency);
        }
    }

    /// Records that the target rejected a run because of load.
    pub(super) fn record_rejection(&mut self, id: StreamId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.is_rejected = true;
        }
    }

    /// Records that a run makes a call; `run` is `None` if the call does not tell its run.
    pub(super) fn record_call_start(&mut self, now: Duration, run: Option<StreamId>) {
        match run.and_then(|it| self.runs.get_mut(&it)) {
            Some(run) => run.own.record_call_start(now),
            None => self.unattributed_at = Some(now),
        }
    }

    /// Records that a call of a run has ended.
    pub(super) fn record_call_end(&mut self, now: Duration, run: Option<StreamId>) {
        if let Some(run) = run.and_then(|it| self.runs.get_mut(&it)) {
            run.own.record_call_end(now);
        }
    }

    /// Records the end of a run, if it was started. `slowdown_percent` is what the target reports.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        id: StreamId,
        outcome: RunOutcome,
        slowdown_percent: Option<u32>,
    ) {
        let Some(run) = self.runs.remove(&id) else { return };
        let remaining = self.runs.len() as u32;
        let is_unknown =
            self.unattributed_at.is_some_and(|it| now.saturating_sub(it) < UNATTRIBUTED_TIME);
        // Without own times the limit only follows rejections.
        if is_unknown && !run.is_rejected {
            return;
        }
        let own_time = if is_unknown { Duration::ZERO } else { run.own.get(now) };
        let outcome = if run.is_rejected { RunOutcome::ShedByTarget } else { outcome };
        let ended = EndedRun {
            class: run.class,
            started: run.started,
            own_time,
            outcome,
            concurrency: run.concurrency,
            remaining,
            slowdown_percent,
        };
        if let Some(process) = &mut self.process {
            process.pace.record_run(now, &ended);
        }
    }

    /// Ends the pace if it has not been needed for a while, and logs what has changed.
    pub(super) fn advance(&mut self, now: Duration) {
        let Some(process) = &mut self.process else { return };
        process.pace.advance(now);
        process.log_change();
    }

    /// Limit of concurrent runs; `None` while no pace is in force.
    pub(super) fn limit(&self) -> Option<u32> {
        let pace = self.process.as_ref().map(|it| &it.pace);
        pace.filter(|it| it.is_in_force()).map(StartPace::limit)
    }

    /// Limit as a share of the slots; `None` if the gate does not determine a pace.
    pub(super) fn share(&self) -> Option<f64> {
        self.process.as_ref().map(|it| it.pace.share())
    }
}

impl PacedProcess {
    fn log_change(&mut self) {
        let (limit, before) = (self.pace.limit(), self.logged_limit);
        let has_ended = !self.pace.is_in_force();
        let is_moved = limit >= before * LOGGED_FACTOR || limit * LOGGED_FACTOR <= before;
        if self.is_end_logged || !(has_ended || is_moved) {
            return;
        }
        self.logged_limit = limit;
        self.is_end_logged = has_ended;
        let event = if has_ended { LogEvent::PaceEnded } else { LogEvent::PaceChanged };
        let round = self.pace.last_round();
        log_event!(
            event,
            "instance={} limit={limit} before={before} slots={} runs={} rejections={} \
             time_ratio={:.2} error={:.2} concurrency={:.1} slowdown={}",
            self.instance,
            self.slots,
            round.runs,
            round.rejections,
            round.time_ratio,
            round.error,
            round.concurrency,
            round.slowdown_percent
        );
    }
}
