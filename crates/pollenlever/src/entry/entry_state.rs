use std::sync::Arc;

use pollenlever_core::policy::Event;

use super::DisconnectWatch;
use super::disconnect_watch::CHECK_INTERVAL;
use crate::control::BoxControl;
use crate::gate::TargetWatch;
use crate::node::{CallReply, OpenWork, Waiters, report};
use crate::ring::Ring;
use crate::telemetry::BoxTelemetry;

/// State that the HTTP routes share.
pub struct EntryState {
    /// Ring to the decision thread.
    pub events: Ring<Event>,
    /// HTTP handlers that wait for a reply to a caller.
    pub calls: Arc<Waiters<CallReply>>,
    /// Membership and configurations.
    pub control: BoxControl,
    /// Metrics and the error budget burn report.
    pub telemetry: BoxTelemetry,
    /// Handles what the target reports about itself.
    pub target: Arc<TargetWatch>,
    /// Notices callers that disconnect.
    pub disconnects: DisconnectWatch,
    /// Counts requests that are not yet answered.
    pub open_work: OpenWork,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum total size of the header names and values of a call.
    pub max_header_bytes: usize,
}

impl EntryState {
    /// Reports the calls of disconnected callers as cancelled. Never returns.
    pub async fn watch_disconnects(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            for call in self.disconnects.disconnected_calls() {
                if self.calls.remove(call) {
                    self.telemetry.count("hung_up_callers");
                    report(&self.events, Event::CallCancelled(call)).await;
                }
            }
        }
    }
}
