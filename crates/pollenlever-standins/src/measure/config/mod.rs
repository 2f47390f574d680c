//! How long an accepted configuration takes to be in force everywhere.

mod config_measurement;

pub(super) use config_measurement::ConfigMeasurement;
