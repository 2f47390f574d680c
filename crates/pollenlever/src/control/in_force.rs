use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use pollenlever_core::config::{ConfigVersion, ServiceConfig};

/// Versions that were handed to the policy, by service.
#[derive(Debug, Default)]
pub(super) struct InForce {
    versions: Mutex<BTreeMap<String, ConfigVersion>>,
}

impl InForce {
    /// Notes that the policy was handed a configuration.
    pub(super) fn set(&self, cfg: &ServiceConfig) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.insert(cfg.service.to_string(), cfg.version);
    }

    /// The versions as of now.
    pub(super) fn versions(&self) -> BTreeMap<String, ConfigVersion> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
