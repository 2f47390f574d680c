//! The baseline of measurements: FIFO queue, round robin and three tries at each hop.

mod entry;
mod gate;
mod naive_policy;

pub use naive_policy::NaivePolicy;
