use std::time::Duration;

/// How many retries all nodes together may send to a service.
///
/// ```
/// use pollenlever_core::mesh::RetryBudgetSettings;
/// let settings = RetryBudgetSettings { slack: 48.0, ..RetryBudgetSettings::default() };
/// assert_eq!(settings.window.as_secs(), 10);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries as a share of requests.
    pub ratio: f64,
    /// Span over which requests and retries are counted.
    pub window: Duration,
    /// Retries that all nodes together may send in a window without any requests.
    pub slack: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, window: Duration::from_secs(10), slack: 0.0 }
    }
}
