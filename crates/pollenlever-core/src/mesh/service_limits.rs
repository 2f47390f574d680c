use bincode::{Decode, Encode};

use crate::id::ServiceName;

/// Properties of a service's targets that operators declare in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceName,
    /// Maximum number of connections that a target accepts, counted over all its callers.
    pub max_connections: u32,
}
