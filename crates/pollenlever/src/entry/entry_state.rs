use std::sync::Arc;

use pollenlever_core::policy::Event;

use super::HangupWatch;
use super::hangup_watch::CHECK_INTERVAL;
use crate::control::BoxControl;
use crate::gate::TargetWatch;
use crate::node::{CallReply, OpenWork, Waiters, report};
use crate::ring::Ring;
use crate::telemetry::BoxTelemetry;

/// What the routes share.
pub struct EntryState {
    /// Where calls go.
    pub events: Ring<Event>,
    /// Callers that wait.
    pub calls: Arc<Waiters<CallReply>>,
    /// Members and configurations.
    pub control: BoxControl,
    /// Metrics and the burn report.
    pub telemetry: BoxTelemetry,
    /// Takes what the target says about itself.
    pub target: Arc<TargetWatch>,
    /// Notices callers that hang up.
    pub hangups: HangupWatch,
    /// Answers that are not yet written.
    pub open_work: OpenWork,
    /// Largest body of a call.
    pub max_body_bytes: usize,
    /// Largest total of a call's headers.
    pub max_header_bytes: usize,
}

impl EntryState {
    /// Reports callers that have hung up, for ever.
    pub async fn watch_hangups(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            for call in self.hangups.hung_up() {
                if self.calls.forget(call) {
                    self.telemetry.count("hung_up_callers");
                    report(&self.events, Event::CallCancelled(call)).await;
                }
            }
        }
    }
}
