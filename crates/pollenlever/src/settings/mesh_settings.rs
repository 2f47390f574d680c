use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use pollenlever_core::mesh::RetryBudgetSettings;

use super::SettingsError;
use super::ini::{Document, Expected, Faults, SectionReader, values};

const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const RETRIES: std::ops::RangeInclusive<f64> = 0.0..=1e6;
const SECONDS: std::ops::RangeInclusive<f64> = 0.1..=3600.0;

/// Settings of a node that carries a mesh's traffic. Keys that it does not know are ignored, since
/// a platform that fills them in may know more.
///
/// ```
/// use pollenlever::settings::MeshSettings;
/// let cfg = MeshSettings { service: "balance".to_owned(), ..MeshSettings::default() };
/// assert_eq!(cfg.stop_grace.as_secs(), 6);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSettings {
    /// `[node] name`: unique among all nodes.
    pub name: String,
    /// `[node] callers`: HTTP address for callers on this VM and for the target's own calls.
    pub callers: SocketAddr,
    /// `[node] peer`: address for other nodes.
    pub peer: SocketAddr,
    /// `[node] advertise`: address by which other nodes reach `peer`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// `[node] ready`: HTTP address at which the platform asks whether the node is ready.
    pub ready: SocketAddr,
    /// `[node] control`: HTTP address at which the target reports.
    pub control: SocketAddr,
    /// `[node] metrics`: HTTP address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// `[node] region`.
    pub region: String,
    /// `[node] zone`.
    pub zone: String,
    /// `[target] address`: HTTP address of the target beside this node.
    pub target: SocketAddr,
    /// `[target] service`: service that runs on this VM.
    pub service: String,
    /// `[store] address`: HTTP address of the platform's store.
    pub store: SocketAddr,
    /// `[bounds] retry_ratio`, `retry_window_s` and `retry_slack`.
    pub retries: RetryBudgetSettings,
    /// `[bounds] stop_grace_s`: time from SIGTERM until the process is killed.
    pub stop_grace: Duration,
    /// `[log] level`.
    pub log_level: String,
}

impl MeshSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault of the file.
    pub fn load(path: &Path) -> Result<MeshSettings, SettingsError> {
        let bytes = std::fs::read(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        let file = path.display().to_string();
        let text = Document::decode(&file, &bytes).map_err(SettingsError::Invalid)?;
        MeshSettings::parse(&file, text)
    }

    /// Checks the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with every fault.
    ///
    /// ```
    /// use pollenlever::settings::MeshSettings;
    /// assert!(MeshSettings::parse("node.ini", "[node]").is_err());
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<MeshSettings, SettingsError> {
        let mut faults = Faults::new(file);
        let doc = Document::parse(text, &mut faults);
        let mut cfg = MeshSettings::default();
        cfg.read_node(&doc, &mut faults);
        cfg.read_neighbours(&doc, &mut faults);
        cfg.read_bounds(&doc, &mut faults);
        faults.into_result(cfg).map_err(SettingsError::Invalid)
    }

    fn read_node(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "node", faults);
        set(&mut self.name, reader.required("name", values::place_name));
        set(&mut self.callers, reader.required("callers", values::address));
        set(&mut self.peer, reader.required("peer", values::address));
        self.advertise = reader.optional("advertise", values::address);
        set(&mut self.ready, reader.required("ready", values::address));
        set(&mut self.control, reader.required("control", values::address));
        self.metrics = reader.optional("metrics", values::address);
        set(&mut self.region, reader.required("region", values::place_name));
        set(&mut self.zone, reader.required("zone", values::place_name));
    }

    fn read_neighbours(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "target", faults);
        set(&mut self.target, reader.required("address", values::address));
        set(&mut self.service, reader.required("service", values::place_name));
        let mut reader = SectionReader::new(doc, "store", faults);
        set(&mut self.store, reader.required("address", values::address));
        let mut reader = SectionReader::new(doc, "log", faults);
        let level = reader.optional("level", values::word(LOG_LEVELS));
        set(&mut self.log_level, level.map(str::to_owned));
    }

    fn read_bounds(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "bounds", faults);
        set(&mut self.retries.ratio, reader.optional("retry_ratio", values::number(0.0..=1.0)));
        set(&mut self.retries.slack, reader.optional("retry_slack", values::number(RETRIES)));
        set(&mut self.retries.window, reader.optional("retry_window_s", seconds));
        set(&mut self.stop_grace, reader.optional("stop_grace_s", seconds));
    }
}

impl Default for MeshSettings {
    fn default() -> MeshSettings {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        MeshSettings {
            name: String::new(),
            callers: loopback(7000),
            peer: loopback(7100),
            advertise: None,
            ready: loopback(7400),
            control: loopback(7500),
            metrics: None,
            region: String::new(),
            zone: String::new(),
            target: loopback(7200),
            service: String::new(),
            store: loopback(7300),
            retries: RetryBudgetSettings::default(),
            stop_grace: Duration::from_secs(6),
            log_level: "info".to_owned(),
        }
    }
}

fn seconds(text: &str) -> Result<Duration, Expected> {
    values::number(SECONDS)(text).map(Duration::from_secs_f64)
}

fn set<T>(slot: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *slot = value;
    }
}
