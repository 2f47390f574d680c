//! Measures the time from accepting a configuration to its being in force on every node.

mod config_measurement;

pub(super) use config_measurement::ConfigMeasurement;
