use std::error::Error;

use super::{MeasurementOptions, Verdict};

/// Error that prevents a measurement from giving figures.
pub type MeasurementError = Box<dyn Error + Send + Sync>;

/// A measurement that `scripts/measure` can run.
pub trait Measurement: Sync {
    /// Name on the command line and at the start of the closing line.
    fn name(&self) -> &'static str;

    /// One-line description: what is measured, and the limit that decides the verdict.
    fn summary(&self) -> &'static str;

    /// Runs the measurement; it must finish within 55 s.
    ///
    /// # Errors
    ///
    /// Any error that prevents the measurement, such as a process that does not start.
    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError>;
}
