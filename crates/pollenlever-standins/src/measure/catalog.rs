use super::Measurement;
use super::config::ConfigMeasurement;
use super::control::ControlMeasurement;

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[&ControlMeasurement, &ConfigMeasurement];
