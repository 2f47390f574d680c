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

/// Submissions that are on their way at once.
const MAX_IN_FLIGHT: usize = 8;
/// Submissions of others that one of ours is put over, before it gives up.
const MAX_RACES: u32 = 10;

/// Submits the services of a manifest that differ from what the store holds.
pub(super) struct Submitter {
    pub(super) api: SharedObjectApi,
    pub(super) overwrite: bool,
}

/// A service that differs from what the store holds.
struct Change {
    cfg: ServiceConfig,
    seen: ConfigVersion,
}

impl Submitter {
    /// Submits all services and waits for their fate.
    ///
    /// # Errors
    ///
    /// The error of the store if it cannot be read, so that nothing was submitted.
    pub(super) fn submit_all(
        self,
        services: Vec<ServiceConfig>,
    ) -> Result<Result<Vec<ServiceResult>, StoreError>, ToolError> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|err| ToolError::Start(err.to_string()))?;
        Ok(runtime.block_on(self.run(services)))
    }

    async fn run(self, services: Vec<ServiceConfig>) -> Result<Vec<ServiceResult>, StoreError> {
        let held = self.api.list(SERVICES_KIND).await?.objects;
        let mut results = Vec::new();
        let mut changes = Vec::new();
        for cfg in services {
            let object = held.iter().find(|it| it.name == *cfg.service);
            match object.filter(|it| holds(&it.value, &cfg)) {
                Some(it) => results.push(ServiceResult::unchanged(&cfg, it.version)),
                None => {
                    let seen = object.map_or(ABSENT_VERSION, |it| it.version);
                    changes.push(Change { cfg, seen });
                }
            }
        }
        results.extend(self.submit_changes(changes).await);
        results.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(results)
    }

    /// Submits the first change alone, so that of two operators who start together one stops there
    /// and does not mix its services with those of the other.
    async fn submit_changes(self, mut changes: Vec<Change>) -> Vec<ServiceResult> {
        changes.sort_by(|a, b| a.cfg.service.cmp(&b.cfg.service));
        let mut rest = changes.into_iter();
        let Some(first) = rest.next() else { return Vec::new() };
        let first = self.submit_one(first).await;
        let mut results = match first.outcome {
            Outcome::Accepted | Outcome::Unchanged => self.submit_at_once(rest).await,
            _ => rest.map(|it| ServiceResult::held_back(&it.cfg, &first)).collect(),
        };
        results.push(first);
        results
    }

    async fn submit_at_once(self, changes: impl Iterator<Item = Change>) -> Vec<ServiceResult> {
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
        let seen = (!self.overwrite).then_some(change.seen);
        let settings = SubmitSettings { expected: seen, ..SubmitSettings::default() };
        let mut races = 0;
        loop {
            let sent = submit(self.api.as_ref(), &change.cfg, &id, &settings).await;
            let err = match sent {
                Ok(accepted) => return ServiceResult::accepted(&change.cfg, id, accepted, races),
                Err(err) => err,
            };
            let SubmitError::Conflict(version) = err else {
                return ServiceResult::failed(&change.cfg, id, &err);
            };
            if !self.overwrite || races == MAX_RACES {
                return self.overtaken(&change, id, version).await;
            }
            races += 1;
        }
    }

    /// Another submission came first, perhaps with the same configuration.
    async fn overtaken(
        &self,
        change: &Change,
        id: String,
        version: ConfigVersion,
    ) -> ServiceResult {
        let read = self.api.get(SERVICES_KIND, &change.cfg.service).await;
        match read {
            Ok(Some(it)) if holds(&it.value, &change.cfg) => {
                ServiceResult::unchanged(&change.cfg, it.version)
            }
            _ => ServiceResult::overtaken(&change.cfg, id, version),
        }
    }
}

/// Whether a value of the store is `cfg`, whichever its version.
fn holds(value: &Value, cfg: &ServiceConfig) -> bool {
    let held = ServiceObject::from_value(value).and_then(|it| it.to_config(cfg.version));
    held.is_ok_and(|it| it == *cfg)
}
