use super::ClusterSpec;
use crate::relay::Location;

/// Location and service of a machine that is to be started.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachinePlan {
    /// Index of the service in the [`ClusterSpec`].
    pub(super) service: usize,
    /// Number of the target within the service, from 0.
    pub(super) index: usize,
    /// Region and zone of the machine.
    pub(super) location: Location,
    /// Number of the machine within the deployment, from 1.
    pub(super) number: u8,
}

impl MachinePlan {
    /// Plans all machines of a deployment; each service's targets are assigned to the locations
    /// round-robin.
    pub(super) fn all(spec: &ClusterSpec) -> Vec<MachinePlan> {
        let locations = spec.locations();
        let mut plans = Vec::new();
        for (service, it) in spec.services.iter().enumerate() {
            for index in 0..it.target_count {
                let location = locations[index % locations.len()];
                plans.push(MachinePlan { service, index, location, number: plans.len() as u8 + 1 });
            }
        }
        plans
    }
}
