use bincode::{Decode, Encode};

use super::ConfigDigest;
use crate::config::{ConfigVersion, ServiceConfig};
use crate::id::ServiceName;

/// A message about configurations from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ConfigMessage {
    /// Digest of the versions in force on the sender.
    pub digest: ConfigDigest,
    /// Versions in force on the sender. Set only in a reply, if the digests differ.
    pub versions: Vec<(ServiceName, ConfigVersion)>,
    /// Services whose configurations the sender requests.
    pub wanted: Vec<ServiceName>,
    /// Configurations for the receiver to apply.
    pub configs: Vec<ServiceConfig>,
}
