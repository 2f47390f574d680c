use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use pollenlever_core::mesh::RetryBudgetSettings;

use super::ini::{Document, Expected, Faults, SectionReader, values};
use super::{BYTES_PER_MB, DESCRIPTORS_RANGE, MEMORY_MB_RANGE, SettingsError};
use crate::bounds::ProcessLimits;

const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
/// Values of a setting that is on or off.
const SWITCH: &[&str] = &["on", "off"];
const RETRY_SLACK_RANGE: std::ops::RangeInclusive<f64> = 0.0..=1e6;
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.1..=3600.0;
const QUOTA_SHARDS_RANGE: std::ops::RangeInclusive<u32> = 1..=256;

/// Settings of a node in a service mesh. Unknown sections and keys are ignored, because the platform
/// that writes the file may set keys that this version does not know.
///
/// ```
/// use pollenlever::settings::MeshSettings;
/// let cfg = MeshSettings { service: "balance".to_owned(), ..MeshSettings::default() };
/// assert_eq!(cfg.stop_grace_period.as_secs(), 6);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSettings {
    /// `[node] name`: name of the node, unique among all nodes.
    pub name: String,
    /// `[node] callers`: HTTP address for callers on this VM and for requests that the target sends.
    pub callers_address: SocketAddr,
    /// `[node] peer`: listen address for other nodes.
    pub peer: SocketAddr,
    /// `[node] advertise`: address at which other nodes reach `peer`; `None` if it is `peer` itself.
    pub advertise: Option<SocketAddr>,
    /// `[node] ready`: HTTP address of the platform's readiness check.
    pub readiness_address: SocketAddr,
    /// `[node] control`: HTTP address to which the target sends its reports.
    pub control_address: SocketAddr,
    /// `[node] metrics`: HTTP address that serves metrics; `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// `[node] region`: region of this node.
    pub region: String,
    /// `[node] zone`: availability zone of this node.
    pub zone: String,
    /// `[target] address`: HTTP address of the target, the server process beside this node.
    pub target: SocketAddr,
    /// `[target] service`: service of the target.
    pub service: String,
    /// `[target] start_pace`: `on` if a started target gets work at a pace that its responses show.
    pub has_start_pace: bool,
    /// `[store] address`: HTTP address of the platform's store.
    pub store: SocketAddr,
    /// `[bounds] retry_ratio`, `retry_window_s` and `retry_slack`: the retry budget.
    pub retry_budget: RetryBudgetSettings,
    /// `[bounds] stop_grace_s`: time from SIGTERM until the platform kills the process.
    pub stop_grace_period: Duration,
    /// `[bounds] memory_mb`: memory that the process may use, in bytes here; `None` for as much as the
    /// platform says.
    pub memory_bytes: Option<usize>,
    /// `[bounds] max_descriptors`: descriptors that the process may open; `None` for as many as the platform
    /// says.
    pub max_descriptors: Option<usize>,
    /// `[quota] shards`: number of shards into which workspaces with quotas are divided. Only the node
    /// that creates the share table uses it; all others take the number from the table.
    pub quota_shards: u32,
    /// `[log] level`: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

impl MeshSettings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Read`] if the file cannot be read, [`SettingsError::Invalid`] with all its
    /// faults if it is invalid.
    pub fn load(path: &Path) -> Result<MeshSettings, SettingsError> {
        let bytes = std::fs::read(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        let file = path.display().to_string();
        let text = Document::decode(&file, &bytes).map_err(SettingsError::Invalid)?;
        MeshSettings::parse(&file, text)
    }

    /// Parses and validates the text of a settings file; `file` is the name that errors show.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with all faults.
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
        cfg.read_target_store_and_log(&doc, &mut faults);
        cfg.read_bounds(&doc, &mut faults);
        cfg.read_quota(&doc, &mut faults);
        faults.into_result(cfg).map_err(SettingsError::Invalid)
    }

    /// What the settings allow the process.
    pub fn process_limits(&self) -> ProcessLimits {
        ProcessLimits { memory_bytes: self.memory_bytes, max_descriptors: self.max_descriptors }
    }

    fn read_node(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "node", faults);
        set(&mut self.name, reader.required("name", values::unicode_name));
        set(&mut self.callers_address, reader.required("callers", values::connect_address));
        set(&mut self.peer, reader.required("peer", values::connect_address));
        self.advertise = reader.optional("advertise", values::connect_address);
        set(&mut self.readiness_address, reader.required("ready", values::connect_address));
        set(&mut self.control_address, reader.required("control", values::connect_address));
        self.metrics_address = reader.optional("metrics", values::connect_address);
        set(&mut self.region, reader.required("region", values::unicode_name));
        set(&mut self.zone, reader.required("zone", values::unicode_name));
    }

    fn read_target_store_and_log(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "target", faults);
        set(&mut self.target, reader.required("address", values::connect_address));
        set(&mut self.service, reader.required("service", values::unicode_name));
        let start_pace = reader.optional("start_pace", values::one_of(SWITCH));
        set(&mut self.has_start_pace, start_pace.map(|it| it == SWITCH[0]));
        let mut reader = SectionReader::new(doc, "store", faults);
        set(&mut self.store, reader.required("address", values::connect_address));
        let mut reader = SectionReader::new(doc, "log", faults);
        let level = reader.optional("level", values::one_of(LOG_LEVELS));
        set(&mut self.log_level, level.map(str::to_owned));
    }

    fn read_bounds(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "bounds", faults);
        set(
            &mut self.retry_budget.ratio,
            reader.optional("retry_ratio", values::number(0.0..=1.0)),
        );
        set(
            &mut self.retry_budget.min_retries,
            reader.optional("retry_slack", values::number(RETRY_SLACK_RANGE)),
        );
        set(&mut self.retry_budget.window, reader.optional("retry_window_s", seconds));
        set(&mut self.stop_grace_period, reader.optional("stop_grace_s", seconds));
        let memory_mb = reader.optional("memory_mb", values::number(MEMORY_MB_RANGE));
        self.memory_bytes = memory_mb.map(|it| it * BYTES_PER_MB);
        self.max_descriptors =
            reader.optional("max_descriptors", values::number(DESCRIPTORS_RANGE));
    }

    fn read_quota(&mut self, doc: &Document, faults: &mut Faults) {
        let mut reader = SectionReader::new(doc, "quota", faults);
        let shards = reader.optional("shards", values::number(QUOTA_SHARDS_RANGE));
        set(&mut self.quota_shards, shards);
    }
}

impl Default for MeshSettings {
    fn default() -> MeshSettings {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        MeshSettings {
            name: String::new(),
            callers_address: loopback(7000),
            peer: loopback(7100),
            advertise: None,
            readiness_address: loopback(7400),
            control_address: loopback(7500),
            metrics_address: None,
            region: String::new(),
            zone: String::new(),
            target: loopback(7200),
            service: String::new(),
            has_start_pace: false,
            store: loopback(7300),
            retry_budget: RetryBudgetSettings::default(),
            stop_grace_period: Duration::from_secs(6),
            memory_bytes: None,
            max_descriptors: None,
            quota_shards: 8,
            log_level: "info".to_owned(),
        }
    }
}

fn seconds(text: &str) -> Result<Duration, Expected> {
    values::number(SECONDS_RANGE)(text).map(Duration::from_secs_f64)
}

/// Replaces the default in `field` by `value`, if there is one.
fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
