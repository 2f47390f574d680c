use std::error::Error;

use super::{MeasureOptions, Verdict};

/// Why a measurement gave no figures.
pub type MeasureError = Box<dyn Error + Send + Sync>;

/// One measurement of `scripts/measure`.
pub trait Measurement: Sync {
    /// Name on the command line and at the start of the last line.
    fn name(&self) -> &'static str;

    /// One sentence that says what is measured and against which target.
    fn summary(&self) -> &'static str;

    /// Runs the measurement, within 55 s.
    ///
    /// # Errors
    ///
    /// Any error that keeps the figures from being taken.
    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError>;
}
