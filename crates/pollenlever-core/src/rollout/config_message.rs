use bincode::{Decode, Encode};

use crate::config::{ConfigVersion, ServiceConfig};
use crate::id::ServiceName;

/// Configuration news from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ConfigMessage {
    /// Versions that the sender holds.
    pub held: Vec<(ServiceName, ConfigVersion)>,
    /// Configurations that the receiver lacks.
    pub configs: Vec<ServiceConfig>,
}
