use std::sync::{Arc, PoisonError};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::MembershipEvent;
use pollenlever_core::mesh::{
    InstanceId, ProcessStatement, RegistryChange, StartTime, TargetReport,
};
use pollenlever_core::policy::TargetNotice;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// What targets say: the one beside this node in its reports, others in their answers.
impl MeshShared {
    /// Handles a report of the target about itself.
    pub fn handle_target_report(&self, report: TargetReport) {
        let text = format!(
            "instance={} started={} sequence={}",
            report.instance, report.started, report.sequence
        );
        let is_draining = report.is_draining;
        let change = self.gate.handle_report(report);
        self.log_target_change(change, &text);
        if is_draining {
            // The first that a restarted node hears changes nothing for others, but has to be stored.
            self.record_departure();
        }
    }

    /// Handles a notice of the target that it is shutting down.
    pub fn handle_target_departure(&self, instance: &InstanceId, started: Option<StartTime>) {
        let change = self.gate.handle_departure(instance, started);
        self.log_target_change(change, &format!("instance={instance}"));
        self.record_departure();
    }

    fn log_target_change(&self, change: RegistryChange, what: &str) {
        match change {
            RegistryChange::Opened => log_event!(LogEvent::TargetReady, "{what}"),
            RegistryChange::Closed => log_event!(LogEvent::TargetLeaving, "{what}"),
            RegistryChange::Stale => {
                log_event!(LogEvent::TargetReportIgnored, "reason=stale {what}");
            }
            RegistryChange::Refreshed => {}
        }
        if matches!(change, RegistryChange::Opened | RegistryChange::Closed) {
            self.announce_target();
        }
    }

    /// Tells the other nodes when the target states in an answer that it leaves, for as long as the
    /// node runs.
    pub(super) async fn announce_departures(self: Arc<MeshShared>) {
        loop {
            self.gate.target_left.notified().await;
            log_event!(LogEvent::TargetLeaving, "source=answer");
            self.announce_target();
        }
    }

    /// Tells the other nodes about the state of the target beside this one.
    pub(super) fn announce_target(&self) {
        let notice = match self.gate.target() {
            Some((report, true)) => TargetNotice::Announce {
                service: report.service,
                slots: Some(report.slots),
                cold: !report.cold_remaining.is_zero(),
            },
            Some((_, false)) => TargetNotice::Leaving,
            None => TargetNotice::Exited,
        };
        self.members.notify(MembershipEvent::Target(notice));
        self.record_departure();
    }

    /// What the target beside `gate` stated last, as far as this node passed it on.
    pub(super) fn remembered_statement(&self, gate: NodeId) -> Option<ProcessStatement> {
        let remembered = self.remembered_statements.lock();
        remembered.unwrap_or_else(PoisonError::into_inner).get(gate.addr)
    }

    /// Remembers what a target stated, as the gate beside it says in its reply.
    pub(super) fn remember_statement(&self, gate: NodeId, stated: Option<ProcessStatement>) {
        let remembered = self.remembered_statements.lock();
        remembered.unwrap_or_else(PoisonError::into_inner).record(gate.addr, stated);
    }
}
