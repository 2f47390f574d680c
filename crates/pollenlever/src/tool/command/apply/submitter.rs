use std::sync::Arc;

use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use serde_json::Value;
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use super::outcome::Outcome;
use super::service_result::ServiceResult;
use crate::store::{
    ABSENT_VERSION, SERVICES_KIND, ServiceObject, SharedObjectApi, StoreError, SubmitError,
    SubmitSettings, submit,
};
use crate::tool::ToolError;

/// Maximum number of submissions in flight.
const MAX_IN_FLIGHT: usize = 8;
/// With `--overwrite`, how often a submission is retried after another one came first.
const MAX_CONFLICT_RETRIES: u32 = 10;

/// Submits the services of a manifest that differ from the store.
pub(super) struct Submitter {
    pub(super) api: SharedObjectApi,
    /// Whether to retry over submissions of others that come first.
    pub(super) overwrite: bool,
}

/// A service that differs from the store.
struct Change {
    cfg: ServiceConfig,
    /// Version read from the store, on which the update is conditional.
    expected_version: ConfigVersion,
}

impl Submitter {
    /// Submits all changed services and returns the result of every service. The inner error is
    /// that of the store if it cannot be read; nothing was submitted then.
    ///
    /// # Errors
    ///
    /// [`ToolError::Start`] if the async runtime cannot start.
    pub(super) fn submit_all(
        self,
        services: Vec<ServiceConfig>,
    ) -> Result<Result<Vec<ServiceResult>, StoreError>, ToolError> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|err| ToolError::Start(err.to_string()))?;
        Ok(runtime.block_on(self.submit_all_async(services)))
    }

    async fn submit_all_async(
        self,
        services: Vec<ServiceConfig>,
    ) -> Result<Vec<ServiceResult>, StoreError> {
        let stored = self.api.list(SERVICES_KIND).await?.objects;
        let mut results = Vec::new();
        let mut changes = Vec::new();
        for cfg in services {
            let object = stored.iter().find(|it| it.name == *cfg.service);
            match object.filter(|it| matches_config(&it.value, &cfg)) {
                Some(it) => results.push(ServiceResult::unchanged(&cfg, it.version)),
                None => {
                    let expected_version = object.map_or(ABSENT_VERSION, |it| it.version);
                    changes.push(Change { cfg, expected_version });
                }
            }
        }
        results.extend(self.submit_changes(changes).await);
        results.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(results)
    }

    /// Submits the first change on its own. If two operators apply manifests at the same time, one
    /// of them fails at this change and stops, so that their services are not mixed.
    async fn submit_changes(self, mut changes: Vec<Change>) -> Vec<ServiceResult> {
        changes.sort_by(|a, b| a.cfg.service.cmp(&b.cfg.service));
        let mut rest = changes.into_iter();
        let Some(first) = rest.next() else { return Vec::new() };
        let first = self.submit_one(first).await;
        let mut results = match first.outcome {
            Outcome::Accepted | Outcome::Unchanged => self.submit_concurrently(rest).await,
            _ => rest.map(|it| ServiceResult::held_back(&it.cfg, &first)).collect(),
        };
        results.push(first);
        results
    }

    async fn submit_concurrently(
        self,
        changes: impl Iterator<Item = Change>,
    ) -> Vec<ServiceResult> {
        let submitter = Arc::new(self);
        let mut tasks = JoinSet::new();
        let mut results = Vec::new();
        for change in changes {
            if tasks.len() >= MAX_IN_FLIGHT {
                let ended = tasks.join_next().await.map(|it| it.expect("submissions do not panic"));
                results.extend(ended);
            }
            let submitter = Arc::clone(&submitter);
            tasks.spawn(async move { submitter.submit_one(change).await });
        }
        results.extend(tasks.join_all().await);
        results
    }

    async fn submit_one(&self, change: Change) -> ServiceResult {
        let id = format!("{:032x}", rand::random::<u128>());
        let expected_version = (!self.overwrite).then_some(change.expected_version);
        let settings = SubmitSettings { expected_version, ..SubmitSettings::default() };
        let mut conflict_retries = 0;
        loop {
            let result = submit(self.api.as_ref(), &change.cfg, &id, &settings).await;
            let err = match result {
                Ok(accepted) => {
                    return ServiceResult::accepted(&change.cfg, id, accepted, conflict_retries);
                }
                Err(err) => err,
            };
            let SubmitError::Conflict(version) = err else {
                return ServiceResult::failed(&change.cfg, id, &err);
            };
            if !self.overwrite || conflict_retries == MAX_CONFLICT_RETRIES {
                return self.resolve_conflict(&change, id, version).await;
            }
            conflict_retries += 1;
        }
    }

    /// Returns the result after another submission came first: unchanged if it made the same
    /// configuration, else overtaken.
    async fn resolve_conflict(
        &self,
        change: &Change,
        id: String,
        version: ConfigVersion,
    ) -> ServiceResult {
        let read = self.api.get(SERVICES_KIND, &change.cfg.service).await;
        match read {
            Ok(Some(it)) if matches_config(&it.value, &change.cfg) => {
                ServiceResult::unchanged(&change.cfg, it.version)
            }
            _ => ServiceResult::overtaken(&change.cfg, id, version),
        }
    }
}

/// Returns whether a value from the store is the same configuration as `cfg`, apart from the
/// version.
fn matches_config(value: &Value, cfg: &ServiceConfig) -> bool {
    let stored = ServiceObject::from_value(value).and_then(|it| it.to_config(cfg.version));
    stored.is_ok_and(|it| it == *cfg)
}
