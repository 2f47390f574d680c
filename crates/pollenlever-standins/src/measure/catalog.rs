use super::Measurement;
use super::promises::Promises;

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[&Promises];
