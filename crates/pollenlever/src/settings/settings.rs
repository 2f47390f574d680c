use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use super::ini::Document;
use super::{PolicyName, SettingsError, parse};

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

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault of the file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let bytes = std::fs::read(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        let file = path.display().to_string();
        let text = Document::decode(&file, &bytes).map_err(SettingsError::Invalid)?;
        Settings::parse(&file, text)
    }

    /// Checks the text of a file; `file` is its name in errors.
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
    /// [`SettingsError::Invalid`] with every fault.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        parse::parse(file, text).map_err(SettingsError::Invalid)
    }

    /// The address by which other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    /// Writes the settings in the form that [`Settings::parse`] reads.
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
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        line(format!("[peers]\nseeds = {}", seeds.join(", ")));
        line(format!("[limits]\nmax_body_bytes = {}", self.max_body_bytes));
        line(format!("max_header_bytes = {}", self.max_header_bytes));
        line(format!("ring_capacity = {}", self.ring_capacity));
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
