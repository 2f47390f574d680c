use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Peer addresses in a region through which new nodes join, one object a region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeersObject {
    /// The addresses, in order.
    pub peers: Vec<SocketAddr>,
}
