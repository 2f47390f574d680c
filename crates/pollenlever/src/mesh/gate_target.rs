use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pollenlever_core::mesh::{
    DepartedTarget, InstanceId, MeshAttempt, ProcessStatement, RegistryChange, RequestsPerSecond,
    StartTime, TargetReport, TargetStatement,
};

use super::answer_statement::AnswerStatement;
use super::gate::Gate;
use super::log_event::{LogEvent, log_event};
use super::run_start::RunStart;
use super::stated_rate::StatedRate;
use super::statement_log::log_statement;

/// The target beside the node: what it reports about itself, and when it leaves.
impl Gate {
    /// Handles a report of the target about itself.
    pub(super) fn handle_report(&self, report: TargetReport) -> RegistryChange {
        let now = self.clock.now();
        let slots = report.slots;
        let mut state = self.lock();
        let before = state.registry.serving().map(|it| it.instance.clone());
        let earlier = state.registry.current().filter(|it| !it.is_draining).map(|it| it.started);
        let started = report.started;
        let change = state.registry.handle_report(now, report);
        let crashed = earlier.filter(|it| change != RegistryChange::Stale && *it < started);
        if let Some(earlier) = crashed {
            state.record_crash(now, earlier, "target has restarted");
            self.notify_crash();
        }
        match change {
            RegistryChange::Opened => {
                state.set_slots(now, slots);
                state.open_pace(now, unix_time_ms());
                if before != state.registry.serving().map(|it| it.instance.clone()) {
                    self.close_idle_connections();
                }
                state.apply_statement(now);
            }
            RegistryChange::Closed => state.close_target(now),
            RegistryChange::Refreshed | RegistryChange::Stale => {}
        }
        change
    }

    /// Handles a notice of the target that it is shutting down.
    pub(super) fn handle_departure(
        &self,
        instance: &InstanceId,
        started: Option<StartTime>,
    ) -> RegistryChange {
        let now = self.clock.now();
        let mut state = self.lock();
        let change = state.registry.handle_departure(instance, started, unix_time_ms());
        if change == RegistryChange::Closed {
            state.close_target(now);
        }
        change
    }

    /// Handles a departure that was recorded before this process of the node started.
    pub(super) fn handle_past_departure(&self, departed: DepartedTarget) -> RegistryChange {
        let now = self.clock.now();
        let mut state = self.lock();
        let change = state.registry.handle_past_departure(departed);
        if change == RegistryChange::Closed {
            state.close_target(now);
        }
        change
    }

    /// The target that has left; `None` while one is in use or none is known to have left.
    pub(super) fn departed_target(&self) -> Option<DepartedTarget> {
        self.lock().registry.departed()
    }

    /// Records what the target stated about itself in the answer to a run.
    pub(super) fn record_statement(&self, start: &RunStart, read: AnswerStatement) {
        if read.says_nothing() {
            return;
        }
        let mut state = self.lock();
        if !state.is_on_present_process(start) {
            return;
        }
        let known = state.statement.get(&start.instance, start.process_started);
        let rate_limit = match read.rate_limit {
            StatedRate::Absent => None,
            StatedRate::Limited(limit) => Some(limit),
            StatedRate::Unchanged => known.rate_limit,
        };
        // A process that leaves does not come back.
        let is_leaving = known.is_leaving || read.is_leaving;
        let statement = TargetStatement { rate_limit, is_leaving };
        let stated = ProcessStatement {
            instance: start.instance.clone(),
            started: start.process_started,
            statement,
        };
        if let Some(before) = state.statement.record(stated.clone()) {
            log_statement(&stated, before, "answer");
            if state.apply_statement(self.clock.now()) == RegistryChange::Closed {
                self.target_left.notify_one();
            }
        }
    }

    /// Records the load that the target reports in the answer to a run.
    pub(super) fn record_reported_load(&self, start: &RunStart, read: &AnswerStatement) {
        let Some(load) = read.load else { return };
        let received = self.clock.now().saturating_sub(read.read_at.elapsed());
        let mut state = self.lock();
        if !state.is_on_present_process(start) {
            return;
        }
        let (instance, started) = (&start.instance, start.process_started);
        if let Some(err) = state.slowdown.record(received, instance, started, load) {
            let reason = err.to_string();
            log_event!(LogEvent::TargetLoadMalformed, "instance={instance} reason={reason:?}");
        }
    }

    /// What the owner of an attempt has to remember of the target's statements; `None` if it
    /// remembers the same.
    pub(super) fn statement_for_owner(&self, head: &MeshAttempt) -> Option<ProcessStatement> {
        let state = self.lock();
        let own = state.statement.own()?;
        let states_nothing = own.statement == TargetStatement::default();
        let is_known = match &head.remembered {
            Some(remembered) => remembered == own,
            None => states_nothing,
        };
        (!is_known).then(|| own.clone())
    }

    /// Requests a second that the target states it takes; `None` if it states none.
    pub(super) fn stated_rate_limit(&self) -> Option<RequestsPerSecond> {
        self.lock().stated().rate_limit
    }

    /// Refuses new requests from now on, because the node is leaving.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        state.is_leaving = true;
        state.refuse_waiting();
    }

    /// Latest report of the target, and whether the target accepts new requests.
    pub(super) fn target(&self) -> Option<(TargetReport, bool)> {
        let state = self.lock();
        let serves = state.registry.serving().is_some() && !state.is_leaving;
        state.registry.current().cloned().map(|it| (it, serves))
    }

    /// Time since the last report of the target.
    pub(super) fn report_age(&self) -> Duration {
        self.clock.now().saturating_sub(self.lock().registry.reported_at())
    }
}

fn unix_time_ms() -> StartTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as StartTime
}
