use pollenlever::settings::PolicyName;

use crate::cluster::Deployment;

/// Options of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasureOptions {
    /// Seed of arrivals, faults and the nodes' random choices.
    pub seed: u64,
    /// Deployment to run on.
    pub deployment: Deployment,
    /// Policy of the nodes, where the measurement does not run both.
    pub policy: PolicyName,
}

impl Default for MeasureOptions {
    fn default() -> MeasureOptions {
        MeasureOptions {
            seed: 1,
            deployment: Deployment::Ferraresi,
            policy: PolicyName::Pollenlever,
        }
    }
}
