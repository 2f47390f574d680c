use std::time::Duration;

use pollenlever_core::config::ServiceConfig;

use crate::target::DownstreamCall;

/// A service of a deployment and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Configuration that is published for the service.
    pub config: ServiceConfig,
    /// Number of targets; they are assigned to the locations round-robin.
    pub target_count: usize,
    /// Time for which a request occupies a slot, not counting its downstream calls.
    pub service_time: Duration,
    /// Downstream calls that a target makes for each request.
    pub calls: Vec<DownstreamCall>,
    /// Number of immediate retries of a failed downstream call.
    pub retries: u32,
    /// Time over which a new target warms up.
    pub cold_time: Duration,
    /// Service time multiplier of a target that has just started; falls to 1 over `cold_time`.
    pub cold_factor: f64,
}

impl Default for ServiceSpec {
    fn default() -> ServiceSpec {
        ServiceSpec {
            config: ServiceConfig::default(),
            target_count: 3,
            service_time: Duration::from_millis(20),
            calls: Vec::new(),
            retries: 0,
            cold_time: Duration::ZERO,
            cold_factor: 1.0,
        }
    }
}
