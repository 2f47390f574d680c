use bincode::{Decode, Encode};

use super::ConfigDigest;
use crate::config::{ConfigVersion, ServiceConfig};
use crate::id::ServiceName;

/// Configuration news from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ConfigMessage {
    /// Digest of the versions that the sender holds.
    pub digest: ConfigDigest,
    /// Versions that the sender holds, if the digests were found to differ.
    pub held: Vec<(ServiceName, ConfigVersion)>,
    /// Services whose configuration the sender asks for.
    pub wanted: Vec<ServiceName>,
    /// Configurations for the receiver to apply.
    pub configs: Vec<ServiceConfig>,
}
