use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pollenlever_core::mesh::{StoreDuty, StoreDutyChoice, WatchWait};

use super::log_event::{LogEvent, log_event};
use super::mesh_shared::WATCHER_SEED;
use super::store_backoff::{StoreBackoff, wait_before_relist};
use super::watch_position::{RouteRead, WatchPosition};
use super::{MeshShared, SharedMeshPlatform};
use crate::store::{NamedObject, ObjectList, Revision, SharedObjectApi, StoreError};

/// Longest backoff between failed calls, and between reads of a node that has no routes yet.
const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// First wait between two reads of a node that has no routes yet; doubles with each read.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest and shortest time between two checks whether this node has to watch the store.
const MAX_DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MIN_DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps the routes in force in step with the store, on the few nodes that watch it for all others,
/// and on every node that has no routes yet or does not hear that others reach the store.
pub(super) struct RouteWatch {
    shared: Arc<MeshShared>,
    platform: SharedMeshPlatform,
    store: SharedObjectApi,
    duty_choice: StoreDutyChoice,
    position: WatchPosition,
    watch_wait: WatchWait,
    backoff: StoreBackoff,
    poll_interval: Duration,
    /// When the last call was sent.
    called_at: Duration,
    /// Version of the last object that could not be used.
    refused: Option<Revision>,
}

impl RouteWatch {
    pub(super) fn new(shared: Arc<MeshShared>, platform: SharedMeshPlatform) -> RouteWatch {
        RouteWatch {
            shared,
            store: platform.store(),
            platform,
            duty_choice: StoreDutyChoice::default(),
            position: WatchPosition::default(),
            watch_wait: WatchWait::default(),
            backoff: StoreBackoff::new(MAX_BACKOFF),
            poll_interval: MIN_POLL_INTERVAL,
            called_at: Duration::ZERO,
            refused: None,
        }
    }

    /// Runs for as long as the node does.
    pub(super) async fn run(mut self) {
        loop {
            let duty = self.choose_duty();
            let has_routes = self.shared.routes().is_some();
            let is_read_due = self.shared.is_routes_read_due.swap(false, Ordering::Relaxed);
            if has_routes && duty == StoreDuty::None && !is_read_due {
                self.position = WatchPosition::default();
                tokio::time::sleep(self.time_to_duty_check()).await;
                continue;
            }
            self.position.needs_present_list |= is_read_due || duty != StoreDuty::None;
            if let Err(err) = self.read(duty).await {
                self.shared.is_routes_read_due.fetch_or(is_read_due, Ordering::Relaxed);
                self.pause_after(duty, has_routes, &err).await;
            }
        }
    }

    /// Whether this node watches the store at present.
    fn choose_duty(&mut self) -> StoreDuty {
        let (now, rank) = (self.shared.clock.now(), self.rank());
        let duty = self.duty_choice.duty(now, rank, self.shared.routes_confirmed_at());
        let watches = duty != StoreDuty::None;
        if self.shared.watches_routes.swap(watches, Ordering::Relaxed) != watches {
            let version = self.shared.route_version();
            if watches {
                let is_deputy = duty == StoreDuty::Deputy;
                let event = LogEvent::RoutesWatchBegan;
                log_event!(event, "version={version} rank={rank} deputy={is_deputy}");
            } else {
                log_event!(LogEvent::RoutesWatchEnded, "version={version}");
            }
        }
        duty
    }

    fn rank(&self) -> usize {
        self.shared.members.read(|it| it.rank_in_region(WATCHER_SEED))
    }

    /// Time until this node may have to step in.
    fn time_to_duty_check(&self) -> Duration {
        let steps_in_at =
            self.duty_choice.steps_in_at(self.rank(), self.shared.routes_confirmed_at());
        let wait = steps_in_at.saturating_sub(self.shared.clock.now());
        wait.clamp(MIN_DUTY_CHECK_INTERVAL, MAX_DUTY_CHECK_INTERVAL)
    }

    /// Reads the routes once and applies them.
    async fn read(&mut self, duty: StoreDuty) -> Result<(), StoreError> {
        let read = self.position.next_read(self.watch_wait.next(&mut rand::rng()));
        let sent_at = self.shared.clock.now();
        self.called_at = sent_at;
        let list = self.call(read).await;
        self.shared.observe_store_era(self.store.era());
        let list = list?;
        let took = self.shared.clock.now().saturating_sub(sent_at);
        self.record_success();
        let is_applied = self.apply_list(&list);
        if let Some(at) = read.confirmed_at(&list, sent_at, took).filter(|_| is_applied) {
            self.record_end(read, &list, at);
            self.shared.confirm_routes(at);
        }
        self.position.since = (duty != StoreDuty::None).then_some(list.revision);
        if duty == StoreDuty::None && self.shared.routes().is_none() {
            tokio::time::sleep(self.poll_interval).await;
            self.poll_interval = (self.poll_interval * 2).min(MAX_BACKOFF);
        }
        Ok(())
    }

    /// Records what a call that confirms the routes at `at` says about when the next one should end.
    fn record_end(&mut self, read: RouteRead, list: &ObjectList, at: Duration) {
        match read {
            RouteRead::Watch(..) if !list.objects.is_empty() => self.watch_wait.record_change(),
            _ => self.watch_wait.record_unchanged(at, self.shared.routes_confirmed_at()),
        }
    }

    async fn call(&self, read: RouteRead) -> Result<ObjectList, StoreError> {
        let (kind, _) = self.platform.routes_object();
        match read {
            RouteRead::Watch(since, wait) => self.store.watch(kind, since, wait).await,
            RouteRead::List => self.store.list(kind).await,
            RouteRead::ListAllowingStale => self.store.list_allowing_stale(kind).await,
        }
    }

    fn record_success(&mut self) {
        self.shared.metrics.record_store_call(true);
        if self.backoff.reset() {
            let (kind, _) = self.platform.routes_object();
            log_event!(LogEvent::StoreRegained, "kind={kind}");
        }
    }

    /// Waits after a failed call. A deputy lets other nodes try instead.
    async fn pause_after(&mut self, duty: StoreDuty, has_routes: bool, err: &StoreError) {
        self.shared.metrics.record_store_call(false);
        if *err == StoreError::HistoryExpired {
            self.position = WatchPosition { since: None, needs_present_list: true };
            return wait_before_relist().await;
        }
        if !self.backoff.is_failing() {
            let ((kind, _), reason) = (self.platform.routes_object(), err.to_string());
            log_event!(LogEvent::StoreLost, "kind={kind} reason={reason:?}");
        }
        if duty == StoreDuty::Deputy && has_routes {
            self.backoff.record_failure();
            self.duty_choice.record_failure(self.shared.clock.now(), self.called_at);
        } else {
            self.backoff.pause().await;
        }
    }

    /// Applies the routes of a list. Returns `false` if they cannot be used.
    fn apply_list(&mut self, list: &ObjectList) -> bool {
        let (_, name) = self.platform.routes_object();
        let found = list.objects.iter().find(|it| it.name == name);
        found.is_none_or(|it| self.apply(it))
    }

    fn apply(&mut self, object: &NamedObject) -> bool {
        match self.platform.routes(&object.value) {
            Ok(table) => self.shared.apply_routes(table, "store"),
            Err(err) => {
                if self.refused.replace(object.version) != Some(object.version) {
                    let reason = err.to_string();
                    log_event!(LogEvent::RoutesRefused, "reason={reason:?}");
                }
                false
            }
        }
    }
}
