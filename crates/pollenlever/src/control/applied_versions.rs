use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use pollenlever_core::config::{ConfigVersion, ServiceConfig};

/// Versions of the configurations that were passed to the policy, by service.
#[derive(Debug, Default)]
pub(super) struct AppliedVersions {
    versions: Mutex<BTreeMap<String, ConfigVersion>>,
}

impl AppliedVersions {
    /// Records that a configuration was passed to the policy.
    pub(super) fn record(&self, cfg: &ServiceConfig) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.insert(cfg.service.to_string(), cfg.version);
    }

    pub(super) fn versions(&self) -> BTreeMap<String, ConfigVersion> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
