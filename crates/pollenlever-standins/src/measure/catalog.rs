use super::Measurement;
use super::config::ConfigMeasurement;
use super::control::ControlMeasurement;
use super::latency::Latency;
use super::promises::Promises;

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] =
    &[&Latency, &Promises, &ControlMeasurement, &ConfigMeasurement];
