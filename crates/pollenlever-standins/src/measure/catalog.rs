use super::config::ConfigMeasurement;
use super::control::ControlMeasurement;
use super::{Latency, Measurement};

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[&Latency, &ControlMeasurement, &ConfigMeasurement];
