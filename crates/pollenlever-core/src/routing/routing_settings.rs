use std::time::Duration;

use super::ChoiceKind;

/// Settings of [`TwoChoices`](super::TwoChoices).
///
/// ```
/// use pollenlever_core::routing::RoutingSettings;
/// let settings = RoutingSettings { seed: 7, ..RoutingSettings::default() };
/// assert!(settings.spill_utilisation > 0.5);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingSettings {
    /// Seed of the random choices.
    pub seed: u64,
    /// Algorithm that picks a target among those of one tier.
    pub choice: ChoiceKind,
    /// Utilisation of the picked gate, as a fraction of its concurrency limit, from which requests
    /// spill over to the next tier.
    pub spill_utilisation: f64,
    /// Age from which the reported load of a gate is ignored.
    pub max_load_age: Duration,
    /// The same for gates in other regions. It is longer, since each new report costs traffic
    /// between regions.
    pub max_other_region_load_age: Duration,
    /// Shortest time between two probe requests of one importance while all gates shed it.
    pub probe_interval: Duration,
    /// First backoff after a failed attempt at a node; doubles with each further failure.
    pub min_backoff: Duration,
    /// Longest backoff after failed attempts at a node.
    pub max_backoff: Duration,
    /// Fraction of a full load share with which a cold target starts.
    pub cold_share: f64,
}

impl Default for RoutingSettings {
    fn default() -> RoutingSettings {
        RoutingSettings {
            seed: 0,
            choice: ChoiceKind::TwoRandom,
            spill_utilisation: 0.9,
            max_load_age: Duration::from_millis(500),
            max_other_region_load_age: Duration::from_secs(3),
            probe_interval: Duration::from_millis(100),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            cold_share: 0.1,
        }
    }
}
