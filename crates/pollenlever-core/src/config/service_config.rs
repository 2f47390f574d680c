use std::time::Duration;

use bincode::{Decode, Encode};

use super::{ConfigVersion, RequestKind};
use crate::answer::ErrorKind;
use crate::id::{RegionName, ServiceName};

/// Configuration of one service: one object in the platform's store.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServiceConfig {
    /// Name of the service.
    pub service: ServiceName,
    /// Version of the object that carries this configuration.
    pub version: ConfigVersion,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Regions in which the service has targets.
    pub regions: Vec<RegionName>,
    /// Time for which records and answers of non-idempotent requests are kept.
    pub retention: Duration,
    /// Ceiling of retries as a share of first attempts, between 0 and 1.
    pub retry_ratio: f64,
    /// Bytes a second that one node may send to other regions for this service; 0 for no limit.
    pub cross_region_bytes: u64,
    /// Time over which a new target's share of load grows to its full value.
    pub ramp_up: Duration,
    /// Kinds of request in order of matching.
    pub kinds: Vec<RequestKind>,
}

impl ServiceConfig {
    /// Finds the kind that covers `method` and `path`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownRequestKind`] if no pattern covers the path,
    /// [`ErrorKind::MethodNotAllowed`] if only the method differs.
    pub fn kind_of(&self, method: &str, path: &str) -> Result<&RequestKind, ErrorKind> {
        let mut err = ErrorKind::UnknownRequestKind;
        for kind in self.kinds.iter().filter(|it| it.path.matches(path)) {
            if kind.method == method {
                return Ok(kind);
            }
            err = ErrorKind::MethodNotAllowed;
        }
        Err(err)
    }
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            service: "default".into(),
            version: 0,
            slots: 36,
            connections: 300,
            regions: Vec::new(),
            retention: Duration::from_secs(120),
            retry_ratio: 0.1,
            cross_region_bytes: 0,
            ramp_up: Duration::from_secs(5),
            kinds: Vec::new(),
        }
    }
}
