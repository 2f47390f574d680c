//! Measurements behind `scripts/measure`.

mod catalog;
mod latency;
mod measure_options;
mod measurement;
mod verdict;

pub use catalog::CATALOG;
pub use latency::Latency;
pub use measure_options::MeasureOptions;
pub use measurement::{MeasureError, Measurement};
pub use verdict::Verdict;
