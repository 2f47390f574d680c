//! Metrics, logs and windowed counts for the burn report.

mod telemetry;

pub use telemetry::{BoxTelemetry, Telemetry};
