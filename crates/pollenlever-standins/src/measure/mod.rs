//! Measurements behind `scripts/measure`.

mod catalog;
mod measure_options;
mod measurement;
mod overload;
mod verdict;

pub use catalog::CATALOG;
pub use measure_options::MeasureOptions;
pub use measurement::{MeasureError, Measurement};
pub use verdict::Verdict;
