use crate::cluster::Deployment;

/// Options of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasureOptions {
    /// Seed of arrivals, faults and the nodes' random choices.
    pub seed: u64,
    /// Deployment to run on.
    pub deployment: Deployment,
}

impl Default for MeasureOptions {
    fn default() -> MeasureOptions {
        MeasureOptions { seed: 1, deployment: Deployment::Ferraresi }
    }
}
