use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::log_event::{LogEvent, log_event};
use super::store_wait::StoreWait;
use super::{BoxMeshPlatform, MeshShared};
use crate::store::{ObjectList, Revision, StoreError};

/// Longest time that one watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

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
        let mut wait = StoreWait::default();
        let mut since: Option<Revision> = None;
        loop {
            let read = match since {
                Some(since) => store.watch(kind, since, WATCH_TIMEOUT).await,
                None => store.list(kind).await,
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
                Err(err) => {
                    self.shared.metrics.store_call(false);
                    if !wait.is_failing() {
                        let reason = err.to_string();
                        log_event!(LogEvent::StoreLost, "kind={kind} reason={reason:?}");
                    }
                    if err == StoreError::HistoryGone {
                        since = None;
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
