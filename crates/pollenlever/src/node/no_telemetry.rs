use pollenlever_core::policy::Observation;

use crate::telemetry::Telemetry;

/// Counts nothing.
pub(super) struct NoTelemetry;

impl Telemetry for NoTelemetry {
    fn observe(&self, _observation: &Observation) {}

    fn count(&self, _name: &'static str) {}

    fn metrics_text(&self) -> String {
        String::new()
    }

    fn burn_json(&self) -> String {
        "{}".to_owned()
    }
}
