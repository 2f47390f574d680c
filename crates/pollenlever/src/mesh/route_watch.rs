use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;

use super::log_event::{LogEvent, log_event};
use super::store_backoff::{StoreBackoff, wait_before_relist};
use super::{MeshShared, SharedMeshPlatform};
use crate::store::{ObjectList, Revision, SharedObjectApi, StoreError};

/// Longest wait of one watch call. A store that drops a call without an answer is noticed only when the
/// call times out, and until then no node hears of new routes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest backoff between failed calls, and between reads of a node that has no routes yet.
const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// First wait between two reads of a node that has no routes yet; doubles with each read.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks whether this node has to watch the store.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the routes in force in step with the store, on the few nodes that watch it for all others,
/// and on every node that has no routes yet or is cut off from the other nodes.
pub(super) struct RouteWatch {
    pub(super) shared: Arc<MeshShared>,
    pub(super) platform: SharedMeshPlatform,
}

/// Position of a watch in the store's sequence of updates.
#[derive(Debug, Default)]
struct WatchPosition {
    since: Option<Revision>,
    /// Whether the next list must not be stale, since the store no longer had the changes after the
    /// position, or has a version that this node knows of.
    needs_present_list: bool,
}

impl RouteWatch {
    /// Runs for as long as the node does.
    pub(super) async fn run(self) {
        let store = self.platform.store();
        let mut backoff = StoreBackoff::new(MAX_BACKOFF);
        let mut position = WatchPosition::default();
        let mut poll_interval = MIN_POLL_INTERVAL;
        loop {
            let watches = self.shared.is_store_watcher() || self.shared.is_out_of_contact();
            let has_routes = self.shared.routes().is_some();
            let is_read_due = self.shared.is_routes_read_due.swap(false, Ordering::Relaxed);
            self.record_duty(watches);
            if has_routes && !watches && !is_read_due {
                position = WatchPosition::default();
                tokio::time::sleep(DUTY_CHECK_INTERVAL).await;
                continue;
            }
            position.needs_present_list |= is_read_due;
            let sent_at = self.shared.clock.now();
            match self.read(&store, &position).await {
                Ok(list) => {
                    if let Some(at) = self.confirmed_at(&position, &list, sent_at) {
                        self.shared.confirm_routes(at);
                    }
                    self.shared.metrics.record_store_call(true);
                    if backoff.reset() {
                        let (kind, _) = self.platform.routes_object();
                        log_event!(LogEvent::StoreRegained, "kind={kind}");
                    }
                    position.since = watches.then_some(list.revision);
                    self.apply_list(&list);
                    if !watches && self.shared.routes().is_none() {
                        tokio::time::sleep(poll_interval).await;
                        poll_interval = (poll_interval * 2).min(MAX_BACKOFF);
                    }
                }
                Err(StoreError::HistoryExpired) => {
                    self.shared.metrics.record_store_call(false);
                    position = WatchPosition { since: None, needs_present_list: true };
                    wait_before_relist().await;
                }
                Err(err) => {
                    self.record_failure(&backoff, &err);
                    self.shared.is_routes_read_due.fetch_or(is_read_due, Ordering::Relaxed);
                    backoff.pause().await;
                }
            }
        }
    }

    async fn read(
        &self,
        store: &SharedObjectApi,
        position: &WatchPosition,
    ) -> Result<ObjectList, StoreError> {
        let (kind, _) = self.platform.routes_object();
        match position {
            WatchPosition { since: Some(since), .. } => {
                store.watch(kind, *since, WATCH_TIMEOUT).await
            }
            WatchPosition { needs_present_list: true, .. } => store.list(kind).await,
            WatchPosition { .. } => store.list_allowing_stale(kind).await,
        }
    }

    /// Logs when this node begins or ends to watch the store.
    fn record_duty(&self, watches: bool) {
        if self.shared.watches_routes.swap(watches, Ordering::Relaxed) == watches {
            return;
        }
        let version = self.shared.route_version();
        let event = if watches { LogEvent::RoutesWatchBegan } else { LogEvent::RoutesWatchEnded };
        log_event!(event, "version={version}");
    }

    /// Time at which the store held nothing newer than what a call sent at `sent_at` has returned;
    /// `None` if it may have returned something older.
    fn confirmed_at(
        &self,
        position: &WatchPosition,
        list: &ObjectList,
        sent_at: Duration,
    ) -> Option<Duration> {
        let took = self.shared.clock.now().saturating_sub(sent_at);
        match position {
            WatchPosition { since: Some(_), .. } => {
                let is_unchanged = list.objects.is_empty() && took >= WATCH_TIMEOUT;
                Some(if is_unchanged { sent_at + WATCH_TIMEOUT } else { sent_at })
            }
            WatchPosition { needs_present_list: true, .. } => Some(sent_at),
            WatchPosition { .. } => None,
        }
    }

    fn record_failure(&self, backoff: &StoreBackoff, err: &StoreError) {
        self.shared.metrics.record_store_call(false);
        if !backoff.is_failing() {
            let ((kind, _), reason) = (self.platform.routes_object(), err.to_string());
            log_event!(LogEvent::StoreLost, "kind={kind} reason={reason:?}");
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
