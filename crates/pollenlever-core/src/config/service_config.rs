use std::time::Duration;

use bincode::{Decode, Encode};

use super::{ConfigVersion, RequestKind};
use crate::answer::ErrorKind;
use crate::id::{RegionName, ServiceName};

/// Configuration of one service; it is stored as one object in the platform's store.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServiceConfig {
    /// Name of the service.
    pub service: ServiceName,
    /// Version of the object that carries this configuration.
    pub version: ConfigVersion,
    /// Slots: number of requests that a target runs at once.
    pub slots: u32,
    /// Number of connections that a target accepts.
    pub connections: u32,
    /// Regions in which the service has targets.
    pub regions: Vec<RegionName>,
    /// Time for which the records and answers of non-idempotent requests are kept.
    pub retention: Duration,
    /// Upper limit of retries as a fraction of first attempts, between 0 and 1.
    pub retry_ratio: f64,
    /// Bytes per second that one node may exchange with other regions for this service; 0 for no
    /// limit.
    pub cross_region_bytes: u64,
    /// Time over which the load of a new target grows from a small fraction to its full share.
    pub ramp_up: Duration,
    /// Kinds of request in the order in which they are matched.
    pub kinds: Vec<RequestKind>,
}

impl ServiceConfig {
    /// Finds the first kind that matches `method` and `path`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownRequestKind`] if no pattern matches the path,
    /// [`ErrorKind::MethodNotAllowed`] if one does, but not with this method.
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
