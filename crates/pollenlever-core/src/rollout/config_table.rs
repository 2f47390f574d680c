use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use crate::config::{ConfigVersion, ServiceConfig};
use crate::id::ServiceName;

/// Hash of all versions in a table; 0 for an empty table. Equal tables have equal digests.
pub type ConfigDigest = u64;

/// The configurations in force on a node, one per service. Versions never decrease.
///
/// ```
/// use pollenlever_core::config::ServiceConfig;
/// use pollenlever_core::rollout::ConfigTable;
/// let mut table = ConfigTable::default();
/// let at = |version| ServiceConfig { version, ..ServiceConfig::default() };
/// assert!(table.apply(at(2)).is_some());
/// assert!(table.apply(at(1)).is_none());
/// assert_eq!(table.version("default"), 2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigTable {
    configs: BTreeMap<ServiceName, Arc<ServiceConfig>>,
    digest: ConfigDigest,
}

impl ConfigTable {
    /// Puts a configuration into force if its version is higher than the current one of its
    /// service. Returns `None` otherwise.
    pub fn apply(&mut self, cfg: ServiceConfig) -> Option<Arc<ServiceConfig>> {
        let before = self.version(&cfg.service);
        if cfg.version <= before {
            return None;
        }
        if before > 0 {
            self.digest ^= hash(&cfg.service, before);
        }
        self.digest ^= hash(&cfg.service, cfg.version);
        let cfg = Arc::new(cfg);
        self.configs.insert(cfg.service.clone(), Arc::clone(&cfg));
        Some(cfg)
    }

    /// Version in force for a service; 0 if there is none.
    pub fn version(&self, service: &str) -> ConfigVersion {
        self.configs.get(service).map_or(0, |it| it.version)
    }

    /// Configuration in force for a service.
    pub fn get(&self, service: &str) -> Option<&Arc<ServiceConfig>> {
        self.configs.get(service)
    }

    /// Versions in force, in order of service name.
    pub fn versions(&self) -> Vec<(ServiceName, ConfigVersion)> {
        self.configs.values().map(|it| (it.service.clone(), it.version)).collect()
    }

    /// Digest of the versions in force.
    pub fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Services of which a peer with `peer_versions` has a higher version than this table.
    pub fn missing(&self, peer_versions: &[(ServiceName, ConfigVersion)]) -> Vec<ServiceName> {
        let missing =
            peer_versions.iter().filter(|(service, version)| self.version(service) < *version);
        missing.map(|(service, _)| service.clone()).collect()
    }

    /// Services of which this table has a higher version than a peer with `peer_versions`.
    pub fn newer_than(&self, peer_versions: &[(ServiceName, ConfigVersion)]) -> Vec<ServiceName> {
        let peer_versions: BTreeMap<&ServiceName, ConfigVersion> =
            peer_versions.iter().map(|(service, version)| (service, *version)).collect();
        let newer = self
            .configs
            .values()
            .filter(|it| peer_versions.get(&it.service).is_none_or(|v| *v < it.version));
        newer.map(|it| it.service.clone()).collect()
    }
}

fn hash(service: &str, version: ConfigVersion) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&version.to_le_bytes());
    hasher.digest()
}
