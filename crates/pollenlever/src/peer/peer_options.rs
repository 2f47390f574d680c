use std::net::IpAddr;

/// Options of the connections to other nodes.
///
/// ```
/// use pollenlever::peer::PeerOptions;
/// let options = PeerOptions { max_body_bytes: 1 << 10, ..PeerOptions::default() };
/// assert_eq!(options.local_ip, None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOptions {
    /// Address from which connections are opened; the system chooses if it is `None`.
    pub local_ip: Option<IpAddr>,
    /// Largest body of a request or a reply, in bytes.
    pub max_body_bytes: usize,
}

impl Default for PeerOptions {
    fn default() -> PeerOptions {
        PeerOptions { local_ip: None, max_body_bytes: 2 << 20 }
    }
}
