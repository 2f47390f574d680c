use std::time::Duration;

use super::ChoiceKind;

/// Settings of [`TwoChoices`](super::TwoChoices).
///
/// ```
/// use pollenlever_core::routing::RoutingSettings;
/// let settings = RoutingSettings { seed: 7, ..RoutingSettings::default() };
/// assert!(settings.spill_at > 0.5);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingSettings {
    /// Seed of the random choices.
    pub seed: u64,
    /// How a target is picked among those of one tier.
    pub choice: ChoiceKind,
    /// Utilisation of a gate at which requests spill to the next tier.
    pub spill_at: f64,
    /// Time after which the load of a gate is no longer believed.
    pub load_memory: Duration,
    /// The same for gates in other regions. Longer, since asking one costs bytes between regions.
    pub far_load_memory: Duration,
    /// Shortest time between two probes of an importance that gates shed.
    pub probe_interval: Duration,
    /// First back-off from a failing node; doubles with each failure.
    pub min_backoff: Duration,
    /// Longest back-off from a failing node.
    pub max_backoff: Duration,
    /// Share of load with which a cold target starts.
    pub cold_share: f64,
}

impl Default for RoutingSettings {
    fn default() -> RoutingSettings {
        RoutingSettings {
            seed: 0,
            choice: ChoiceKind::TwoRandom,
            spill_at: 0.9,
            load_memory: Duration::from_millis(500),
            far_load_memory: Duration::from_secs(2),
            probe_interval: Duration::from_millis(100),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            cold_share: 0.1,
        }
    }
}
