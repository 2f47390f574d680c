use super::{Latency, Measurement};

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[&Latency];
