//! Measurements that `scripts/measure` runs, each with limits that decide its verdict.

mod catalog;
mod cold_start;
mod config;
mod control;
mod fairness;
mod figures;
mod fleet;
mod latency;
mod measurement;
mod measurement_options;
mod misleading;
mod overload;
mod poison;
mod promises;
mod queue;
mod regions;
mod slow_service;
mod verdict;
mod wasted_work;
mod workspaces;
mod zone_loss;

pub use catalog::MEASUREMENTS;
pub use latency::Latency;
pub use measurement::{Measurement, MeasurementError};
pub use measurement_options::MeasurementOptions;
pub use promises::{PromisesTrial, PromisesTrialSettings, Violations};
pub use verdict::Verdict;
