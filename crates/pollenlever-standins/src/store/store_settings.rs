use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the store stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address to listen on; port 0 picks a free one.
    pub addr: SocketAddr,
    /// Maximum size of a value in bytes.
    pub max_value_bytes: usize,
    /// Maximum wait of a watch in milliseconds; longer timeouts are shortened to it.
    pub max_watch_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> StoreSettings {
        StoreSettings {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            max_value_bytes: 1 << 20,
            max_watch_ms: 60_000,
        }
    }
}
