use super::Measurement;
use super::overload::Overload;

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[&Overload];
