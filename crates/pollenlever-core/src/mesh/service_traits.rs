use bincode::{Decode, Encode};

use crate::id::ServiceName;

/// What operators declare about the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServiceTraits {
    /// The service.
    pub service: ServiceName,
    /// Connections that a target accepts from all its callers together.
    pub max_connections: u32,
}
