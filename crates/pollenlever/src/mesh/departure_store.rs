use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::mesh::{DepartedTarget, StoreStep, StoredDeparture};
use tokio::time::timeout;

use super::MeshShared;
use super::departure_object::DepartureObject;
use super::log_event::{LogEvent, log_event};
use super::store_backoff::StoreBackoff;
use crate::store::{ABSENT_VERSION, NamedObject, Object, Revision, SharedObjectApi, StoreError};

/// Kind of the store objects that hold the departures of targets.
const DEPARTURES_KIND: &str = "pollenlever-departures";
/// Longest backoff between failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Longest wait at startup for the object that an earlier process of this node stored.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two searches for objects whose nodes are gone. An object is deleted if its node is
/// missing in two searches in a row.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Longest wait before a departure is stored again that a store from an older copy may lack. The wait is
/// random, as all nodes hear of it at the same time.
const MAX_RESTORE_JITTER: Duration = Duration::from_secs(1);

/// Keeps the departure of the target beside this node in the store, so that a restart of the node
/// does not take a target that has left back into use.
///
/// Only departures are stored: a node whose target has not left makes one call, at its start.
pub(super) struct DepartureStore {
    shared: Arc<MeshShared>,
    store: SharedObjectApi,
    /// Version of this node's object; `ABSENT_VERSION` if there is none.
    version: Revision,
    stored: StoredDeparture,
}

impl DepartureStore {
    pub(super) fn new(shared: Arc<MeshShared>, store: SharedObjectApi) -> DepartureStore {
        DepartureStore {
            shared,
            store,
            version: ABSENT_VERSION,
            stored: StoredDeparture::default(),
        }
    }

    /// Restores the departure that an earlier process stored, and stores later ones, for as long as
    /// the node runs. A departure that is read late takes the target out of use again.
    pub(super) async fn run(mut self) {
        if timeout(RECOVERY_TIMEOUT, self.read_until_answered()).await.is_err() {
            let kind = DEPARTURES_KIND;
            log_event!(LogEvent::StoreLost, "kind={kind} reason=\"read timeout\"");
        }
        let mut era = self.shared.store_era.subscribe();
        let mut backoff = StoreBackoff::new(MAX_BACKOFF);
        loop {
            match self.update().await {
                Ok(()) => {
                    backoff.reset();
                    tokio::select! {
                        () = self.shared.departure_changed.notified() => {}
                        // The sender lives as long as this node.
                        _ = era.changed() => self.forget_stored().await,
                    }
                }
                Err(StoreError::Conflict(current)) => {
                    self.record_found(Some(current));
                    backoff.pause().await;
                }
                Err(err) => {
                    log_event!(LogEvent::OwnObjectNotStored, "reason={:?}", err.to_string());
                    backoff.pause().await;
                }
            }
        }
    }

    async fn read_until_answered(&mut self) {
        let mut backoff = StoreBackoff::new(MAX_BACKOFF);
        while let Err(err) = self.read().await {
            if !backoff.is_failing() {
                let reason = err.to_string();
                log_event!(LogEvent::StoreLost, "kind={DEPARTURES_KIND} reason={reason:?}");
            }
            backoff.pause().await;
        }
    }

    /// Reads this node's object, and takes the target out of use if it is the one that has left.
    async fn read(&mut self) -> Result<(), StoreError> {
        let name = self.shared.settings().name;
        let found = self.store.get(DEPARTURES_KIND, &name).await;
        self.shared.metrics.record_store_call(found.is_ok());
        if let Some(found) = self.record_found(found?) {
            self.shared.apply_past_departure(found.departed(), "store");
        }
        self.shared.record_departure_read();
        Ok(())
    }

    /// Records this node's object. Returns the departure in it; `None` if it has another form.
    fn record_found(&mut self, found: Option<Object>) -> Option<DepartureObject> {
        let has_object = found.is_some();
        self.version = found.as_ref().map_or(ABSENT_VERSION, |it| it.version);
        let object = found.and_then(|it| DepartureObject::from_value(&it.value));
        // An object with another address of the node is written again.
        let own = object.as_ref().filter(|it| it.peer == self.shared.me.addr);
        self.stored.record_found(has_object, own.map(DepartureObject::departed));
        self.publish_stored();
        object
    }

    fn publish_stored(&self) {
        self.shared.departures.set_stored(self.stored.departed().cloned());
    }

    /// Handles that the store may lack what this node has stored. The next update then writes it again,
    /// unless the store still has it.
    async fn forget_stored(&mut self) {
        if self.stored.forget() {
            self.publish_stored();
            tokio::time::sleep(MAX_RESTORE_JITTER.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Brings the store's object in line with the target: writes its departure, and deletes the
    /// object once another target is in use.
    async fn update(&mut self) -> Result<(), StoreError> {
        loop {
            let departed = self.shared.gate.departed_target();
            match self.stored.next_step(departed.as_ref()) {
                StoreStep::Read => self.read().await?,
                StoreStep::Write(departed) => self.write(departed).await?,
                StoreStep::Delete => self.delete().await?,
                StoreStep::Wait => return Ok(()),
            }
        }
    }

    async fn write(&mut self, departed: DepartedTarget) -> Result<(), StoreError> {
        let name = self.shared.settings().name;
        let object = DepartureObject::new(self.shared.me.addr, &departed);
        let value =
            serde_json::to_value(&object).map_err(|err| StoreError::Malformed(err.to_string()))?;
        let written = self.store.put(DEPARTURES_KIND, &name, self.version, &value).await;
        self.shared.metrics.record_store_call(written.is_ok());
        self.version = written?;
        self.stored.record_found(true, Some(departed));
        self.publish_stored();
        Ok(())
    }

    async fn delete(&mut self) -> Result<(), StoreError> {
        let name = self.shared.settings().name;
        let deleted = self.store.delete(DEPARTURES_KIND, &name, self.version).await;
        self.shared.metrics.record_store_call(deleted.is_ok());
        deleted?;
        self.record_found(None);
        Ok(())
    }
}

/// Deletes the departures of nodes that are gone for good, while this node is one of those chosen
/// for duties at the store.
pub(super) async fn delete_orphaned_departures(shared: Arc<MeshShared>, store: SharedObjectApi) {
    let mut missing: BTreeSet<String> = BTreeSet::new();
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        if !shared.is_store_watcher() {
            missing.clear();
            continue;
        }
        match store.list_allowing_stale(DEPARTURES_KIND).await {
            Ok(list) => missing = delete_missing(&shared, &store, &missing, list.objects).await,
            Err(err) => log::info!("departures not listed reason={:?}", err.to_string()),
        }
    }
}

/// Deletes the objects whose nodes are missing now and were before. Returns those missing now.
async fn delete_missing(
    shared: &MeshShared,
    store: &SharedObjectApi,
    missing_before: &BTreeSet<String>,
    objects: Vec<NamedObject>,
) -> BTreeSet<String> {
    let mut missing = BTreeSet::new();
    for object in objects {
        let Some(departure) = DepartureObject::from_value(&object.value) else { continue };
        let is_member =
            shared.members.read(|it| it.table().live().any(|it| it.node.addr == departure.peer));
        if is_member {
            continue;
        }
        if missing_before.contains(&object.name)
            && let Err(err) = store.delete(DEPARTURES_KIND, &object.name, object.version).await
        {
            let (name, reason) = (&object.name, err.to_string());
            log::info!(
                "departure of a node that is gone not deleted name={name} reason={reason:?}"
            );
        }
        missing.insert(object.name);
    }
    missing
}
