use serde::{Deserialize, Serialize};

/// How truthful a target's load reports are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// Reports what it runs.
    #[default]
    Honest,
    /// Always reports that it runs nothing.
    Idle,
    /// Always reports that all slots are taken.
    Full,
}

/// Faults of a stand-in target, set by `POST /_faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on the service time.
    pub slow_factor: f64,
    /// Truthfulness of load reports.
    pub report: ReportMode,
    /// Age of the load that is reported, in milliseconds.
    pub report_lag_ms: u64,
    /// Share of answers that are cut half way, between 0 and 1.
    pub cut_ratio: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { slow_factor: 1.0, report: ReportMode::Honest, report_lag_ms: 0, cut_ratio: 0.0 }
    }
}
