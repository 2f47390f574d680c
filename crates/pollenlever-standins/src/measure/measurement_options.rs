use pollenlever::settings::PolicyName;

use crate::cluster::Deployment;

/// Options of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasurementOptions {
    /// Seed of the arrivals, the faults and the nodes' random number generators.
    pub seed: u64,
    /// Deployment to run on.
    pub deployment: Deployment,
    /// Policy of the nodes; ignored by measurements that run both policies.
    pub policy: PolicyName,
}

impl Default for MeasurementOptions {
    fn default() -> MeasurementOptions {
        MeasurementOptions {
            seed: 1,
            deployment: Deployment::Ferraresi,
            policy: PolicyName::Pollenlever,
        }
    }
}
