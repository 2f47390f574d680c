use std::time::Duration;

/// Limits of the retries that all nodes together may send to a service.
///
/// ```
/// use pollenlever_core::mesh::RetryBudgetSettings;
/// let settings = RetryBudgetSettings { min_retries: 48.0, ..RetryBudgetSettings::default() };
/// assert_eq!(settings.window.as_secs(), 10);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Maximum ratio of retries to requests.
    pub ratio: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
    /// Retries per window that all nodes together may send in addition, even without any requests.
    pub min_retries: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, window: Duration::from_secs(10), min_retries: 0.0 }
    }
}
