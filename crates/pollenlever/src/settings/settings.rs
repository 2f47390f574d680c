use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Which policy decides on this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// The policy of this project.
    #[default]
    Pollenlever,
    /// The baseline of measurements.
    Naive,
}

/// Settings of one node.
///
/// ```
/// use pollenlever::settings::Settings;
/// let cfg = Settings { region: "lombardia".to_owned(), ..Settings::default() };
/// assert_eq!(cfg.max_body_bytes, 1 << 20);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// `[node] entry`: HTTP address for callers, the target and operators.
    pub entry: SocketAddr,
    /// `[node] peer`: address for other nodes.
    pub peer: SocketAddr,
    /// `[node] advertise`: address by which other nodes reach `peer`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// `[node] region`.
    pub region: String,
    /// `[node] zone`.
    pub zone: String,
    /// `[target] address`: HTTP address of the target beside this node.
    pub target: SocketAddr,
    /// `[store] address`: HTTP address of the platform's object API.
    pub store: SocketAddr,
    /// `[peers] seeds`: peer addresses to join through, besides what the store lists.
    pub seeds: Vec<SocketAddr>,
    /// `[limits] max_body_bytes`.
    pub max_body_bytes: usize,
    /// `[limits] max_header_bytes`.
    pub max_header_bytes: usize,
    /// `[limits] ring_capacity`: events that wait for the decision thread.
    pub ring_capacity: usize,
    /// `[limits] drain_timeout_ms`: longest wait for requests in flight after SIGTERM.
    pub drain_timeout: Duration,
    /// `[policy] name`: `pollenlever` or `naive`.
    pub policy: PolicyName,
    /// `[policy] seed`: seed of random choices; drawn if absent.
    pub seed: Option<u64>,
    /// `[log] level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

impl Default for Settings {
    fn default() -> Settings {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Settings {
            entry: loopback(7000),
            peer: loopback(7100),
            advertise: None,
            region: String::new(),
            zone: String::new(),
            target: loopback(7200),
            store: loopback(7300),
            seeds: Vec::new(),
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            ring_capacity: 4096,
            drain_timeout: Duration::from_secs(30),
            policy: PolicyName::Pollenlever,
            seed: None,
            log_level: "info".to_owned(),
        }
    }
}
