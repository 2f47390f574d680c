use serde::{Deserialize, Serialize};

/// Whether a target reports its real load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// Reports the number of requests in flight.
    #[default]
    Honest,
    /// Always reports that no request is in flight.
    Idle,
    /// Always reports that all slots are in use.
    Full,
}

/// Faults of a stand-in target, set by `POST /_faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service time multiplier; 1 for no effect.
    pub slow_factor: f64,
    /// Whether load reports are truthful.
    pub report: ReportMode,
    /// Age of the reported load in milliseconds; 0 for the current load.
    pub report_lag_ms: u64,
    /// Share of answers that are truncated to half of their length, from 0 to 1.
    pub cut_ratio: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { slow_factor: 1.0, report: ReportMode::Honest, report_lag_ms: 0, cut_ratio: 0.0 }
    }
}
