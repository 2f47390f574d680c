use std::sync::Arc;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::policy::Observation;

/// Records ended calls and events, and exports the counts.
pub trait Telemetry: Send + Sync {
    /// Sets the objectives of a service, for the burn report, when its configuration comes into
    /// force on this node.
    fn set_objectives(&self, cfg: &ServiceConfig) {
        let _ = cfg;
    }

    /// Records an ended call.
    fn record_call(&self, call: &Observation);

    /// Records an event, such as `late_answers`; `name` is its label in the metrics.
    fn record_event(&self, name: &'static str);

    /// Returns all metrics in the OpenMetrics text format, served by `GET /metrics`.
    fn metrics_text(&self) -> String;

    /// Returns the windowed counts as JSON, served by `GET /pollenlever/v1/burn`.
    fn burn_json(&self) -> String;
}

/// A [`Telemetry`] implementation shared by the threads of a node.
pub type SharedTelemetry = Arc<dyn Telemetry>;
