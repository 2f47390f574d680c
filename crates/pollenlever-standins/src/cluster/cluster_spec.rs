use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::{Ports, ServiceSpec};
use crate::relay::Location;

/// A deployment to start.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Services with their targets.
    pub services: Vec<ServiceSpec>,
    /// Names of the regions; a [`Location`]'s region is an index into them, from 1.
    pub regions: Vec<String>,
    /// Number of availability zones in each region.
    pub zones_per_region: u8,
    /// Overload policy of all nodes.
    pub policy: PolicyName,
    /// Base of the nodes' random seeds; each node adds its machine number.
    pub seed: u64,
    /// Ports of the deployment.
    pub ports: Ports,
    /// Whether nodes connect to each other through the relay.
    pub uses_relay: bool,
    /// Timeout of each step of the start, such as until every node sees every target.
    pub start_timeout: Duration,
}

impl ClusterSpec {
    /// All locations, in the order in which the targets of a service are assigned to them.
    pub fn locations(&self) -> Vec<Location> {
        let regions = 1..=self.regions.len() as u8;
        let zones = 1..=self.zones_per_region;
        zones
            .flat_map(|zone| regions.clone().map(move |region| Location { region, zone }))
            .collect()
    }

    /// Name of a location's region.
    pub fn region_name(&self, location: Location) -> &str {
        &self.regions[usize::from(location.region) - 1]
    }

    /// Name of a location's availability zone.
    pub fn zone_name(&self, location: Location) -> String {
        format!("{}-{}", self.region_name(location), location.zone)
    }
}

impl Default for ClusterSpec {
    fn default() -> ClusterSpec {
        ClusterSpec {
            services: Vec::new(),
            regions: ["lombardia", "veneto", "emilia"].map(str::to_owned).to_vec(),
            zones_per_region: 2,
            policy: PolicyName::Pollenlever,
            seed: 1,
            ports: Ports::next(),
            uses_relay: true,
            start_timeout: Duration::from_secs(15),
        }
    }
}
