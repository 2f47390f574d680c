//! Metrics, logs and windowed counts for the burn report.

mod logging;
mod telemetry;

pub use logging::init_logging;
pub use telemetry::{BoxTelemetry, Telemetry};
