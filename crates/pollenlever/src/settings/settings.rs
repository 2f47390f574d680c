use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use super::ini::Document;
use super::{BYTES_PER_MB, PolicyName, SettingsError, parse};
use crate::bounds::ProcessLimits;

/// Settings of one node of `pollenleverd`.
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
    /// `[node] peer`: listen address for other nodes; may be a wildcard.
    pub peer: SocketAddr,
    /// `[node] advertise`: address at which other nodes reach `peer`; `None` if it is `peer` itself.
    pub advertise: Option<SocketAddr>,
    /// `[node] region`: region of this node.
    pub region: String,
    /// `[node] zone`: availability zone of this node.
    pub zone: String,
    /// `[target] address`: HTTP address of the target, the server process beside this node.
    pub target: SocketAddr,
    /// `[store] address`: HTTP address of the platform's object API.
    pub store: SocketAddr,
    /// `[peers] seeds`: peer addresses to join through, in addition to those listed in the store.
    pub seed_peers: Vec<SocketAddr>,
    /// `[limits] max_body_bytes`: maximum size of an HTTP body.
    pub max_body_bytes: usize,
    /// `[limits] max_header_bytes`: maximum size of an HTTP header.
    pub max_header_bytes: usize,
    /// `[limits] ring_capacity`: capacity of the event queue of the decision thread, and of the
    /// command queues of the peer and target threads.
    pub ring_capacity: usize,
    /// `[limits] memory_mb`: memory that the process may use, in bytes here; `None` for 256 MB.
    pub memory_bytes: Option<usize>,
    /// `[limits] max_descriptors`: descriptors that the process may open; `None` for as many as the system
    /// allows.
    pub max_descriptors: Option<usize>,
    /// `[limits] drain_timeout_ms`: maximum wait for requests in flight after SIGTERM.
    pub drain_timeout: Duration,
    /// `[policy] name`: `pollenlever` or `naive`.
    pub policy: PolicyName,
    /// `[policy] seed`: seed of the random number generator; `None` for a random seed.
    pub seed: Option<u64>,
    /// `[log] level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Read`] if the file cannot be read, [`SettingsError::Invalid`] with all its
    /// faults if it is invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let bytes = std::fs::read(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        let file = path.display().to_string();
        let text = Document::decode(&file, &bytes).map_err(SettingsError::Invalid)?;
        Settings::parse(&file, text)
    }

    /// Parses and validates the text of a settings file; `file` is the name that errors show.
    ///
    /// ```
    /// use pollenlever::settings::Settings;
    /// let text = "
    /// [node]
    /// entry = 127.0.0.1:7000
    /// peer = 127.0.0.1:7100
    /// region = lombardia
    /// zone = lombardia-a
    /// [target]
    /// address = 127.0.0.1:7200
    /// [store]
    /// address = 127.0.0.1:7300
    /// ";
    /// let cfg = Settings::parse("node.ini", text).unwrap();
    /// assert_eq!(cfg.zone, "lombardia-a");
    /// assert!(Settings::parse("node.ini", "[node]").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with all faults.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        parse::parse(file, text).map_err(SettingsError::Invalid)
    }

    /// What the settings allow the process.
    pub fn process_limits(&self) -> ProcessLimits {
        ProcessLimits { memory_bytes: self.memory_bytes, max_descriptors: self.max_descriptors }
    }

    /// The address at which other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    /// Formats the settings as INI text that [`Settings::parse`] accepts.
    ///
    /// ```
    /// use pollenlever::settings::Settings;
    /// let (region, zone) = ("lombardia".to_owned(), "lombardia-a".to_owned());
    /// let cfg = Settings { region, zone, ..Settings::default() };
    /// assert_eq!(Settings::parse("node.ini", &cfg.to_ini()).unwrap(), cfg);
    /// ```
    pub fn to_ini(&self) -> String {
        let mut buf = String::new();
        let mut line = |text: String| {
            let _ = writeln!(buf, "{text}"); // writing to a string does not fail
        };
        line("[node]".to_owned());
        line(format!("entry = {}", self.entry));
        line(format!("peer = {}", self.peer));
        if let Some(advertise) = self.advertise {
            line(format!("advertise = {advertise}"));
        }
        line(format!("region = {}", self.region));
        line(format!("zone = {}", self.zone));
        line(format!("[target]\naddress = {}", self.target));
        line(format!("[store]\naddress = {}", self.store));
        let seeds: Vec<String> = self.seed_peers.iter().map(ToString::to_string).collect();
        line(format!("[peers]\nseeds = {}", seeds.join(", ")));
        line(format!("[limits]\nmax_body_bytes = {}", self.max_body_bytes));
        line(format!("max_header_bytes = {}", self.max_header_bytes));
        line(format!("ring_capacity = {}", self.ring_capacity));
        if let Some(bytes) = self.memory_bytes {
            line(format!("memory_mb = {}", bytes / BYTES_PER_MB));
        }
        if let Some(count) = self.max_descriptors {
            line(format!("max_descriptors = {count}"));
        }
        line(format!("drain_timeout_ms = {}", self.drain_timeout.as_millis()));
        line(format!("[policy]\nname = {}", self.policy.as_str()));
        if let Some(seed) = self.seed {
            line(format!("seed = {seed}"));
        }
        line(format!("[log]\nlevel = {}", self.log_level));
        buf
    }
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
            seed_peers: Vec::new(),
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            ring_capacity: 4096,
            memory_bytes: None,
            max_descriptors: None,
            drain_timeout: Duration::from_secs(30),
            policy: PolicyName::Pollenlever,
            seed: None,
            log_level: "info".to_owned(),
        }
    }
}
