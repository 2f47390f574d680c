use std::sync::Arc;

use pollenlever_core::policy::Event;

use super::DisconnectWatch;
use super::disconnect_watch::CHECK_INTERVAL;
use crate::bounds::{ConnectionLimiter, MessageMemory};
use crate::control::SharedControl;
use crate::gate::TargetWatch;
use crate::node::{CallReply, InFlightCounter, PendingReplies, push_event};
use crate::ring::RingSender;
use crate::telemetry::SharedTelemetry;

/// State that the HTTP routes share.
pub struct EntryState {
    /// Ring to the decision thread.
    pub events: RingSender<Event>,
    /// Replies that HTTP handlers of callers wait for.
    pub calls: Arc<PendingReplies<CallReply>>,
    /// Membership and configurations.
    pub control: SharedControl,
    /// Metrics and the error budget burn report.
    pub telemetry: SharedTelemetry,
    /// Handles what the target reports about itself.
    pub target: Arc<TargetWatch>,
    /// Notices callers that disconnect.
    pub disconnects: DisconnectWatch,
    /// Limits the connections of callers.
    pub connections: ConnectionLimiter,
    /// Memory for the bodies of requests and answers.
    pub memory: MessageMemory,
    /// Counts requests that are not yet answered.
    pub in_flight_work: InFlightCounter,
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
                    self.telemetry.record_event("hung_up_callers");
                    push_event(&self.events, Event::CallCancelled(call)).await;
                }
            }
        }
    }
}
