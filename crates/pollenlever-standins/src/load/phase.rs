use std::time::Duration;

/// A span of time with one rate of arrivals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// New requests a second.
    pub rate: f64,
    /// Length of the phase.
    pub length: Duration,
}

impl Phase {
    /// A phase of `secs` seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_standins::load::Phase;
    /// assert_eq!(Phase::new(300.0, 1.5).length, Duration::from_millis(1500));
    /// ```
    pub fn new(rate: f64, secs: f64) -> Phase {
        Phase { rate, length: Duration::from_secs_f64(secs) }
    }
}
