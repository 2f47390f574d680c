//! Measures the latency that a node adds to a call.

mod arrivals;
mod latency;
mod samples;
mod step;

pub use latency::Latency;
