use std::sync::Arc;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::policy::Observation;

/// Counts ended calls and shows the counts.
pub trait Telemetry: Send + Sync {
    /// Takes the objectives of a service whose configuration is in force on this node, for the burn
    /// report.
    fn configure(&self, cfg: &ServiceConfig) {
        let _ = cfg;
    }

    /// Counts an ended call.
    fn observe(&self, observation: &Observation);

    /// Counts an event of the driver, such as `late_answers`, by its metric name.
    fn count(&self, name: &'static str);

    /// All metrics in the text format of `GET /metrics`.
    fn metrics_text(&self) -> String;

    /// Windowed counts as JSON, served by `GET /pollenlever/v1/burn`.
    fn burn_json(&self) -> String;
}

/// Telemetry of whichever kind, shared by the threads of a node.
pub type SharedTelemetry = Arc<dyn Telemetry>;
