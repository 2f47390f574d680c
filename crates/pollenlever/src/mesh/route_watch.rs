use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::log_event::{LogEvent, log_event};
use super::store_backoff::{StoreBackoff, wait_before_relist};
use super::{MeshShared, SharedMeshPlatform};
use crate::store::{ObjectList, Revision, StoreError};

/// Timeout of one watch call; the platform allows no longer one.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest backoff between failed watches.
const MAX_BACKOFF: Duration = Duration::from_millis(1500);

/// Keeps the routes in force in step with the store.
pub(super) struct RouteWatch {
    pub(super) shared: Arc<MeshShared>,
    pub(super) platform: SharedMeshPlatform,
}

impl RouteWatch {
    /// Watches the store for as long as the node runs.
    pub(super) async fn run(self) {
        let store = self.platform.store();
        let (kind, _) = self.platform.routes_object();
        let mut backoff = StoreBackoff::new(MAX_BACKOFF);
        let mut since: Option<Revision> = None;
        let mut lost_history = false;
        loop {
            let read = match since {
                Some(since) => store.watch(kind, since, WATCH_TIMEOUT).await,
                // A stale list may be older than the history that the store still has.
                None if lost_history => store.list(kind).await,
                None => store.list_allowing_stale(kind).await,
            };
            match read {
                Ok(list) => {
                    self.shared.metrics.record_store_call(true);
                    if backoff.reset() {
                        log_event!(LogEvent::StoreRegained, "kind={kind}");
                    }
                    since = Some(list.revision);
                    self.apply_list(&list);
                }
                Err(StoreError::HistoryExpired) => {
                    self.shared.metrics.record_store_call(false);
                    since = None;
                    lost_history = true;
                    wait_before_relist().await;
                }
                Err(err) => {
                    self.shared.metrics.record_store_call(false);
                    if !backoff.is_failing() {
                        let reason = err.to_string();
                        log_event!(LogEvent::StoreLost, "kind={kind} reason={reason:?}");
                    }
                    backoff.pause().await;
                }
            }
        }
    }

    fn apply_list(&self, list: &ObjectList) {
        let (_, name) = self.platform.routes_object();
        for object in list.objects.iter().filter(|it| it.name == name) {
            self.apply(&object.value);
        }
    }

    fn apply(&self, value: &Value) {
        match self.platform.routes(value) {
            Ok(table) => self.shared.apply_routes(table, "store"),
            Err(err) => log_event!(LogEvent::RoutesRefused, "reason={:?}", err.to_string()),
        }
    }
}
