use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::log_event::{LogEvent, log_event};
use super::store_wait::{StoreWait, relist_pause};
use super::{BoxMeshPlatform, MeshShared};
use crate::store::{ObjectList, Revision, StoreError};

/// Longest time that one watch waits for a change; the platform allows no longer one.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait between watches that fail.
const MAX_WAIT: Duration = Duration::from_millis(1500);

/// Keeps the routes in force up to date with the store.
pub(super) struct RouteWatch {
    pub(super) shared: Arc<MeshShared>,
    pub(super) platform: BoxMeshPlatform,
}

impl RouteWatch {
    /// Watches for ever.
    pub(super) async fn run(self) {
        let store = self.platform.store();
        let (kind, _) = self.platform.routes_object();
        let mut wait = StoreWait::new(MAX_WAIT);
        let mut since: Option<Revision> = None;
        let mut lost_history = false;
        loop {
            let read = match since {
                Some(since) => store.watch(kind, since, WATCH_TIMEOUT).await,
                // A stale list may lie before the history that is left.
                None if lost_history => store.list(kind).await,
                None => store.list_maybe_stale(kind).await,
            };
            match read {
                Ok(list) => {
                    self.shared.metrics.store_call(true);
                    if wait.reset() {
                        log_event!(LogEvent::StoreRegained, "kind={kind}");
                    }
                    since = Some(list.revision);
                    self.take(&list);
                }
                Err(StoreError::HistoryGone) => {
                    self.shared.metrics.store_call(false);
                    since = None;
                    lost_history = true;
                    relist_pause().await;
                }
                Err(err) => {
                    self.shared.metrics.store_call(false);
                    if !wait.is_failing() {
                        let reason = err.to_string();
                        log_event!(LogEvent::StoreLost, "kind={kind} reason={reason:?}");
                    }
                    wait.pause().await;
                }
            }
        }
    }

    fn take(&self, list: &ObjectList) {
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
