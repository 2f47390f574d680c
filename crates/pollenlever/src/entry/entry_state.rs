use std::sync::Arc;

use pollenlever_core::policy::Event;

use crate::control::BoxControl;
use crate::gate::TargetWatch;
use crate::node::{CallReply, Waiters};
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
    /// Largest body of a call.
    pub max_body_bytes: usize,
    /// Largest total of a call's headers.
    pub max_header_bytes: usize,
}
