//! The naive policy, the baseline of measurements: FIFO queue, round robin and three attempts at each
//! hop.

mod entry;
mod gate;
mod naive_policy;

pub use naive_policy::NaivePolicy;
