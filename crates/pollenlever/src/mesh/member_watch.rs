use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pollenlever_core::id::NodeId;
use serde_json::Value;
use tokio::time::timeout;

use super::log_event::{LogEvent, log_event};
use super::store_backoff::{StoreBackoff, wait_before_relist};
use super::{MemberObject, MeshShared, TargetIdentity};
use crate::store::{
    ABSENT_VERSION, NamedObject, ObjectList, Revision, SharedObjectApi, StoreError,
};

/// Kind of the store objects through which nodes discover each other.
const MEMBERS_KIND: &str = "pollenlever-members";
/// Timeout of one watch call, the maximum that the platform allows.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest backoff between failed watches. It may be longer than that of writes, since nodes send
/// each other urgent changes directly.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(5);
/// Longest backoff between failed writes, and between failed attempts of the first list.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest wait at startup for the object that an earlier process of this node stored.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between checks for members whose objects are to be deleted.
const REMOVE_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest delay between two watches, so that one call returns a whole group of changes.
const MIN_WATCH_DELAY: Duration = Duration::from_secs(2);
/// Longest delay between two watches. The delay grows while watches report nothing, or only what
/// other nodes have already announced directly.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(8);

/// Publishes this node's object in the store and discovers the other nodes from theirs.
#[derive(Clone)]
pub(super) struct MemberWatch {
    pub(super) shared: Arc<MeshShared>,
    pub(super) store: SharedObjectApi,
    /// Last known version of this node's object; `ABSENT_VERSION` if none is known.
    own_version: Arc<AtomicU64>,
}

impl MemberWatch {
    pub(super) fn new(shared: Arc<MeshShared>, store: SharedObjectApi) -> MemberWatch {
        MemberWatch { shared, store, own_version: Arc::new(AtomicU64::new(ABSENT_VERSION)) }
    }

    /// Discovers the other nodes and publishes this one, for as long as the node runs.
    pub(super) async fn run(self) {
        let mut known: BTreeMap<String, NodeId> = BTreeMap::new();
        let first = timeout(RECOVERY_TIMEOUT, self.first_list()).await;
        let mut since = None;
        match first {
            Ok(list) => {
                self.recover(&list);
                since = Some(list.revision);
                self.apply_list(&mut known, &list);
                self.shared.record_members_known();
            }
            Err(_) => {
                log_event!(LogEvent::StoreLost, "kind={MEMBERS_KIND} reason=\"list timeout\"");
            }
        }
        self.shared.mark_target_state_restored();
        self.shared.announce_to_all();
        tokio::spawn(self.clone().publish());
        tokio::spawn(self.clone().remove_lost());
        self.watch(known, since).await;
    }

    /// Lists the members, again after each failure until a call succeeds.
    async fn first_list(&self) -> ObjectList {
        let mut backoff = StoreBackoff::new(MAX_WRITE_BACKOFF);
        loop {
            match self.store.list(MEMBERS_KIND).await {
                Ok(list) => {
                    self.shared.metrics.record_store_call(true);
                    return list;
                }
                Err(err) => {
                    self.record_failure(&mut backoff, &err);
                    backoff.pause().await;
                }
            }
        }
    }

    async fn watch(self, mut known: BTreeMap<String, NodeId>, mut since: Option<Revision>) {
        let mut backoff = StoreBackoff::new(MAX_WATCH_BACKOFF);
        let mut watch_delay = MIN_WATCH_DELAY;
        loop {
            let read = match since {
                Some(since) => self.store.watch(MEMBERS_KIND, since, WATCH_TIMEOUT).await,
                None => self.store.list(MEMBERS_KIND).await,
            };
            match read {
                Ok(list) => {
                    self.shared.metrics.record_store_call(true);
                    if backoff.reset() {
                        log_event!(LogEvent::StoreRegained, "kind={MEMBERS_KIND}");
                    }
                    if since.is_none() {
                        self.forget_missing(&mut known, &list);
                    }
                    since = Some(list.revision);
                    let has_changes = self.apply_list(&mut known, &list);
                    watch_delay = if has_changes {
                        MIN_WATCH_DELAY
                    } else {
                        (watch_delay * 2).min(MAX_WATCH_DELAY)
                    };
                    tokio::time::sleep(watch_delay).await;
                }
                Err(StoreError::HistoryExpired) => {
                    since = None;
                    wait_before_relist().await;
                }
                Err(err) => {
                    self.record_failure(&mut backoff, &err);
                    backoff.pause().await;
                }
            }
        }
    }

    /// Counts a failed call, and logs it if it is the first after a success.
    fn record_failure(&self, backoff: &mut StoreBackoff, err: &StoreError) {
        self.shared.metrics.record_store_call(false);
        if !backoff.is_failing() {
            let reason = err.to_string();
            log_event!(LogEvent::StoreLost, "kind={MEMBERS_KIND} reason={reason:?}");
        }
    }

    /// Applies a list of member objects. Returns whether a listed member was new or had changed.
    fn apply_list(&self, known: &mut BTreeMap<String, NodeId>, list: &ObjectList) -> bool {
        let mut has_changes = false;
        for object in &list.objects {
            match MemberObject::from_value(&object.value) {
                Some(member) => {
                    let member = member.to_member();
                    known.insert(object.name.clone(), member.node);
                    self.shared.record_member_name(member.node, &object.name);
                    has_changes |= self.shared.on_member_updated(member);
                }
                None => log_event!(
                    LogEvent::MemberIgnored,
                    "reason=\"another form\" name={:?}",
                    object.name
                ),
            }
        }
        let own = self.shared.settings().name;
        if list.deleted.contains(&own) {
            // Another node deleted the object because this node did not answer it: store it again.
            self.shared.own_member_changed.notify_one();
        }
        for name in &list.deleted {
            if let Some(node) = known.remove(name) {
                self.shared.member_unlisted(node);
            }
        }
        has_changes
    }

    /// Handles known members that are missing from `list`: their objects were deleted while no
    /// watch was running.
    fn forget_missing(&self, known: &mut BTreeMap<String, NodeId>, list: &ObjectList) {
        let is_listed = |name: &String| list.objects.iter().any(|it| it.name == *name);
        let missing: Vec<String> = known.keys().filter(|it| !is_listed(it)).cloned().collect();
        for name in missing {
            if let Some(node) = known.remove(&name) {
                self.shared.member_unlisted(node);
            }
        }
    }

    /// Stores this node's object after each change of it, the first included, until the node
    /// leaves.
    async fn publish(self) {
        let mut backoff = StoreBackoff::new(MAX_WRITE_BACKOFF);
        self.shared.own_member_changed.notified().await;
        while !self.shared.is_leaving() {
            match self.put(self.own_version()).await {
                Ok(written) => {
                    backoff.reset();
                    self.set_own_version(written);
                    self.shared.own_member_changed.notified().await;
                }
                Err(StoreError::Conflict(current)) => self.set_own_version(current.version),
                Err(err) => {
                    log_event!(LogEvent::OwnObjectNotStored, "reason={:?}", err.to_string());
                    backoff.pause().await;
                }
            }
        }
    }

    /// Deletes the objects of members that have not answered for long. A member that is still
    /// running notices that and stores its object again.
    async fn remove_lost(self) {
        loop {
            tokio::time::sleep(REMOVE_INTERVAL).await;
            for (name, node) in self.shared.members_to_remove() {
                if let Err(err) = self.remove_if_lost(&name, node).await {
                    let reason = err.to_string();
                    log::info!("object of a lost member not deleted name={name} reason={reason:?}");
                }
            }
        }
    }

    /// Deletes a member's object if it still belongs to the process that does not answer.
    async fn remove_if_lost(&self, name: &str, node: NodeId) -> Result<(), StoreError> {
        let found = self.store.get(MEMBERS_KIND, name).await?;
        let same_process = found.filter(|it| is_stored_by(node, &it.value));
        if let Some(found) = same_process {
            log_event!(LogEvent::MemberGone, "node={node} source=silence");
            self.store.delete(MEMBERS_KIND, name, found.version).await?;
        }
        // Its object is deleted, or belongs to a later process, which the watch will report.
        self.shared.on_member_removed(node);
        Ok(())
    }

    /// Deletes this node's object after the node has left in an orderly way.
    pub(super) async fn remove_own_object(&self) {
        let name = self.shared.settings().name;
        let mut removed = self.store.delete(MEMBERS_KIND, &name, self.own_version()).await;
        if let Err(StoreError::Conflict(current)) = &removed
            && is_stored_by(self.shared.me, &current.value)
        {
            removed = self.store.delete(MEMBERS_KIND, &name, current.version).await;
        }
        if let Err(err) = removed {
            log::warn!("own object not deleted reason={:?}", err.to_string());
        }
    }

    fn own_version(&self) -> Revision {
        self.own_version.load(Ordering::Relaxed)
    }

    fn set_own_version(&self, revision: Revision) {
        self.own_version.store(revision, Ordering::Relaxed);
    }

    /// Restores from the object that an earlier process of this node stored: the departure of its
    /// target, and the object's version.
    fn recover(&self, list: &ObjectList) {
        let name = self.shared.settings().name;
        let Some(own) = list.objects.iter().find(|it| it.name == name) else { return };
        self.restore_departed_target(own);
        self.set_own_version(own.version);
    }

    /// Records the target as departed if the stored object says that it was shutting down, so that
    /// a restart of the node does not lose the target's announcement.
    fn restore_departed_target(&self, object: &NamedObject) {
        let stored = MemberObject::from_value(&object.value);
        let target = stored.and_then(|it| it.target).filter(|it| it.is_leaving);
        if let Some(target) = target {
            log_event!(LogEvent::TargetLeaving, "source=store instance={}", target.instance);
            self.shared
                .gate
                .record_past_departure(target.instance.as_str().into(), target.started_ms);
        }
    }

    /// Identity of the target beside the node, or of the one that left last.
    fn target_identity(&self) -> Option<TargetIdentity> {
        if let Some((report, _)) = self.shared.gate.target() {
            return Some(TargetIdentity::from(&report));
        }
        let (instance, started) = self.shared.gate.last_departed()?;
        let instance = instance.to_string();
        Some(TargetIdentity { instance, started_ms: started, is_leaving: true })
    }

    async fn put(&self, revision: Revision) -> Result<Revision, StoreError> {
        let settings = self.shared.settings();
        let object = MemberObject::new(&self.shared.own_member(), self.target_identity());
        let value = serde_json::to_value(&object);
        let value = value.map_err(|err| StoreError::Malformed(err.to_string()))?;
        self.store.put(MEMBERS_KIND, &settings.name, revision, &value).await
    }
}

/// Whether `value` was stored by the process `node`.
fn is_stored_by(node: NodeId, value: &Value) -> bool {
    MemberObject::from_value(value).is_some_and(|it| it.to_member().node == node)
}
