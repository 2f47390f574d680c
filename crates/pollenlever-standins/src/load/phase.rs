use std::time::Duration;

/// A period with a constant arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// New requests per second.
    pub requests_per_s: f64,
    /// Duration of the phase.
    pub duration: Duration,
}

impl Phase {
    /// A phase of `secs` seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_standins::load::Phase;
    /// assert_eq!(Phase::new(300.0, 1.5).duration, Duration::from_millis(1500));
    /// ```
    pub fn new(requests_per_s: f64, secs: f64) -> Phase {
        Phase { requests_per_s, duration: Duration::from_secs_f64(secs) }
    }
}
