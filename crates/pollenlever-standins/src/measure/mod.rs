//! Measurements behind `scripts/measure`.

mod catalog;
mod config;
mod control;
mod fleet;
mod latency;
mod measure_options;
mod measurement;
mod promises;
mod verdict;

pub use catalog::CATALOG;
pub use latency::Latency;
pub use measure_options::MeasureOptions;
pub use measurement::{MeasureError, Measurement};
pub use promises::{Checks, Trial, TrialSettings};
pub use verdict::Verdict;
