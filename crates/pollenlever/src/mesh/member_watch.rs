use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pollenlever_core::id::NodeId;
use serde_json::Value;
use tokio::time::timeout;

use super::log_event::{LogEvent, log_event};
use super::store_wait::{StoreWait, relist_pause};
use super::{MemberObject, MeshShared, TargetIdentity};
use crate::store::{ABSENT, BoxObjectApi, NamedObject, ObjectList, Revision, StoreError};

/// Kind of the objects by which nodes find each other.
const MEMBERS_KIND: &str = "pollenlever-members";
/// Longest time that one watch waits for a change; the platform allows no longer one.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait between watches that fail: nodes tell each other what is urgent.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);
/// Longest wait between writes, and between the first reads, that fail.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(1);
/// Longest wait at the start for what an earlier process of this node has stored.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two looks for members whose objects are to be removed.
const REMOVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a change before the next watch: changes come in groups.
const MIN_WATCH_PAUSE: Duration = Duration::from_secs(2);
/// The same once the other nodes have been telling all that the store tells.
const MAX_WATCH_PAUSE: Duration = Duration::from_secs(8);

/// Keeps this node's object in the store, and learns of the other nodes from theirs.
#[derive(Clone)]
pub(super) struct MemberWatch {
    pub(super) shared: Arc<MeshShared>,
    pub(super) store: BoxObjectApi,
    /// Revision of this node's object, as far as is known.
    own_revision: Arc<AtomicU64>,
}

impl MemberWatch {
    pub(super) fn new(shared: Arc<MeshShared>, store: BoxObjectApi) -> MemberWatch {
        MemberWatch { shared, store, own_revision: Arc::new(AtomicU64::new(ABSENT)) }
    }

    /// Learns of the other nodes, and tells them about this one, for ever.
    pub(super) async fn run(self) {
        let mut known: BTreeMap<String, NodeId> = BTreeMap::new();
        let first = timeout(RECOVERY_TIMEOUT, self.first_list()).await;
        let mut since = None;
        match first {
            Ok(list) => {
                self.recover(&list);
                since = Some(list.revision);
                self.take(&mut known, &list);
            }
            Err(_) => {
                log_event!(LogEvent::StoreLost, "kind={MEMBERS_KIND} reason=\"no first list\"");
            }
        }
        self.shared.set_recovered();
        self.shared.announce_to_all();
        tokio::spawn(self.clone().publish());
        tokio::spawn(self.clone().remove_lost());
        self.watch(known, since).await;
    }

    async fn first_list(&self) -> ObjectList {
        let mut wait = StoreWait::new(MAX_WRITE_WAIT);
        loop {
            match self.store.list(MEMBERS_KIND).await {
                Ok(list) => {
                    self.shared.metrics.store_call(true);
                    return list;
                }
                Err(err) => {
                    self.note_failure(&mut wait, &err);
                    wait.pause().await;
                }
            }
        }
    }

    async fn watch(self, mut known: BTreeMap<String, NodeId>, mut since: Option<Revision>) {
        let mut wait = StoreWait::new(MAX_WATCH_WAIT);
        let mut pause = MIN_WATCH_PAUSE;
        loop {
            let read = match since {
                Some(since) => self.store.watch(MEMBERS_KIND, since, WATCH_TIMEOUT).await,
                None => self.store.list(MEMBERS_KIND).await,
            };
            match read {
                Ok(list) => {
                    self.shared.metrics.store_call(true);
                    if wait.reset() {
                        log_event!(LogEvent::StoreRegained, "kind={MEMBERS_KIND}");
                    }
                    if since.is_none() {
                        self.forget_missing(&mut known, &list);
                    }
                    since = Some(list.revision);
                    let is_news = self.take(&mut known, &list);
                    pause =
                        if is_news { MIN_WATCH_PAUSE } else { (pause * 2).min(MAX_WATCH_PAUSE) };
                    tokio::time::sleep(pause).await;
                }
                Err(StoreError::HistoryGone) => {
                    since = None;
                    relist_pause().await;
                }
                Err(err) => {
                    self.note_failure(&mut wait, &err);
                    wait.pause().await;
                }
            }
        }
    }

    /// Counts a failed call; the first one after a success is logged.
    fn note_failure(&self, wait: &mut StoreWait, err: &StoreError) {
        self.shared.metrics.store_call(false);
        if !wait.is_failing() {
            let reason = err.to_string();
            log_event!(LogEvent::StoreLost, "kind={MEMBERS_KIND} reason={reason:?}");
        }
    }

    /// Takes what the store says about members. Returns whether that was news.
    fn take(&self, known: &mut BTreeMap<String, NodeId>, list: &ObjectList) -> bool {
        let mut is_news = false;
        for object in &list.objects {
            match MemberObject::from_value(&object.value) {
                Some(member) => {
                    let member = member.to_member();
                    known.insert(object.name.clone(), member.node);
                    self.shared.name_member(member.node, &object.name);
                    is_news |= self.shared.member_up(member);
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
            self.shared.own_changed.notify_one();
        }
        for name in &list.deleted {
            if let Some(node) = known.remove(name) {
                self.shared.member_unlisted(node);
            }
        }
        is_news
    }

    /// Forgets members whose objects were removed while nobody watched.
    fn forget_missing(&self, known: &mut BTreeMap<String, NodeId>, list: &ObjectList) {
        let is_listed = |name: &String| list.objects.iter().any(|it| it.name == *name);
        let missing: Vec<String> = known.keys().filter(|it| !is_listed(it)).cloned().collect();
        for name in missing {
            if let Some(node) = known.remove(&name) {
                self.shared.member_unlisted(node);
            }
        }
    }

    /// Keeps this node's object up to date for ever, from its first change on.
    async fn publish(self) {
        let mut wait = StoreWait::new(MAX_WRITE_WAIT);
        self.shared.own_changed.notified().await;
        while !self.shared.is_leaving() {
            match self.put(self.own_revision()).await {
                Ok(written) => {
                    wait.reset();
                    self.note_own_revision(written);
                    self.shared.own_changed.notified().await;
                }
                Err(StoreError::Conflict(current)) => self.note_own_revision(current.version),
                Err(err) => {
                    log_event!(LogEvent::OwnObjectNotStored, "reason={:?}", err.to_string());
                    wait.pause().await;
                }
            }
        }
    }

    /// Removes the objects of members that have not answered for long. A member that is there after
    /// all sees that and stores its object again.
    async fn remove_lost(self) {
        loop {
            tokio::time::sleep(REMOVE_INTERVAL).await;
            for (name, node) in self.shared.members_to_remove() {
                if let Err(err) = self.remove_if_lost(&name, node).await {
                    let reason = err.to_string();
                    log::info!("object of a lost member not removed name={name} reason={reason:?}");
                }
            }
        }
    }

    /// Removes a member's object if it is still that of the process that does not answer.
    async fn remove_if_lost(&self, name: &str, node: NodeId) -> Result<(), StoreError> {
        let found = self.store.get(MEMBERS_KIND, name).await?;
        let same = found.filter(|it| is_stored_by(node, &it.value));
        if let Some(found) = same {
            log_event!(LogEvent::MemberGone, "node={node} source=silence");
            self.store.delete(MEMBERS_KIND, name, found.version).await?;
        }
        // Its object is gone, or a later process has stored one and will be heard of.
        self.shared.member_gone(node);
        Ok(())
    }

    /// Removes this node's object: the node has left in order.
    pub(super) async fn retire(&self) {
        let name = self.shared.settings().name;
        let mut removed = self.store.delete(MEMBERS_KIND, &name, self.own_revision()).await;
        if let Err(StoreError::Conflict(current)) = &removed
            && is_stored_by(self.shared.me, &current.value)
        {
            removed = self.store.delete(MEMBERS_KIND, &name, current.version).await;
        }
        if let Err(err) = removed {
            log::warn!("own object not removed reason={:?}", err.to_string());
        }
    }

    fn own_revision(&self) -> Revision {
        self.own_revision.load(Ordering::Relaxed)
    }

    fn note_own_revision(&self, revision: Revision) {
        self.own_revision.store(revision, Ordering::Relaxed);
    }

    /// Takes what an earlier process of this node has stored.
    fn recover(&self, list: &ObjectList) {
        let name = self.shared.settings().name;
        let Some(own) = list.objects.iter().find(|it| it.name == name) else { return };
        self.note_target(own);
        self.note_own_revision(own.version);
    }

    /// Remembers that the target has told an earlier process of this node that it leaves.
    fn note_target(&self, object: &NamedObject) {
        let stored = MemberObject::from_value(&object.value);
        let target = stored.and_then(|it| it.target).filter(|it| it.is_leaving);
        if let Some(target) = target {
            log_event!(LogEvent::TargetLeaving, "source=store instance={}", target.instance);
            self.shared.gate.note_gone(target.instance.as_str().into(), target.started_ms);
        }
    }

    /// The target beside the node, or else the one that left last.
    fn target_identity(&self) -> Option<TargetIdentity> {
        if let Some((report, _)) = self.shared.gate.target() {
            return Some(TargetIdentity::from(&report));
        }
        let (instance, started) = self.shared.gate.last_gone()?;
        let instance = instance.to_string();
        Some(TargetIdentity { instance, started_ms: started, is_leaving: true })
    }

    async fn put(&self, revision: Revision) -> Result<Revision, StoreError> {
        let settings = self.shared.settings();
        let object = MemberObject::new(&self.shared.own(), self.target_identity());
        let value = serde_json::to_value(&object);
        let value = value.map_err(|err| StoreError::Malformed(err.to_string()))?;
        self.store.put(MEMBERS_KIND, &settings.name, revision, &value).await
    }
}

/// Whether the process `node` has stored the value.
fn is_stored_by(node: NodeId, value: &Value) -> bool {
    MemberObject::from_value(value).is_some_and(|it| it.to_member().node == node)
}
