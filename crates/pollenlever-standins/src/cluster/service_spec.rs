use std::time::Duration;

use pollenlever_core::config::ServiceConfig;

use crate::target::DownstreamCall;

/// A service of a deployment and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Configuration that is published for the service.
    pub config: ServiceConfig,
    /// Targets, spread over the places in turn.
    pub targets: usize,
    /// Time that a request holds a slot, without the calls that it makes.
    pub service_time: Duration,
    /// Calls that a target makes for each request.
    pub calls: Vec<DownstreamCall>,
    /// Times that a target sends a failed call again at once.
    pub retries: u32,
    /// Time over which a new target warms up.
    pub cold_time: Duration,
    /// Factor on the service time of a wholly cold target.
    pub cold_factor: f64,
}

impl Default for ServiceSpec {
    fn default() -> ServiceSpec {
        ServiceSpec {
            config: ServiceConfig::default(),
            targets: 3,
            service_time: Duration::from_millis(20),
            calls: Vec::new(),
            retries: 0,
            cold_time: Duration::ZERO,
            cold_factor: 1.0,
        }
    }
}
