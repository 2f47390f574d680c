//! Measurements that `scripts/measure` runs, each with limits that decide its verdict.

mod catalog;
mod cold_start;
mod config;
mod control;
mod fairness;
mod figures;
mod fleet;
mod latency;
mod measure_options;
mod measurement;
mod misleading;
mod overload;
mod poison;
mod promises;
mod regions;
mod slow_service;
mod verdict;
mod wasted_work;
mod zone_loss;

pub use catalog::CATALOG;
pub use latency::Latency;
pub use measure_options::MeasureOptions;
pub use measurement::{MeasureError, Measurement};
pub use promises::{Checks, Trial, TrialSettings};
pub use verdict::Verdict;
