use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses of nodes of one region that new nodes contact to join; each region has one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeersObject {
    /// The addresses, sorted.
    pub peers: Vec<SocketAddr>,
}
