//! Measurements behind `scripts/measure`.

mod catalog;
mod cold_start;
mod fairness;
mod figures;
mod measure_options;
mod measurement;
mod misleading;
mod overload;
mod poison;
mod regions;
mod slow_service;
mod verdict;
mod wasted_work;
mod zone_loss;

pub use catalog::CATALOG;
pub use measure_options::MeasureOptions;
pub use measurement::{MeasureError, Measurement};
pub use verdict::Verdict;
