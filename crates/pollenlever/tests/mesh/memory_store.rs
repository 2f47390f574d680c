use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollenlever::store::{
    ABSENT_VERSION, NamedObject, Object, ObjectApi, ObjectList, Revision, StoreError, StoreFuture,
};
use serde_json::Value;
use tokio::sync::Notify;

type Key = (String, String);

/// Time after which a call without an answer fails; for a watch, after its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bits of a revision that hold the number; the era is above them.
const NUMBER_BITS: u32 = 48;

/// What a store comes back from when it has lost its latest writes.
pub(crate) struct StoreCopy {
    revision: Revision,
    objects: BTreeMap<Key, Object>,
}

#[derive(Default)]
struct State {
    /// How often the store has come back from a copy.
    era: u64,
    revision: Revision,
    objects: BTreeMap<Key, Object>,
    /// Changes in order; `None` stands for a removed object.
    history: Vec<(Revision, Key, Option<Object>)>,
    is_down: bool,
    /// Kind of objects for which every call fails.
    down_kind: Option<&'static str>,
    /// Whether new calls get no answer.
    is_silent: bool,
    /// Watches that wait for a change.
    waiting_watches: usize,
    unanswered_watches: usize,
    /// Number of calls by kind; a watch counts anew with each change that it sees.
    calls: BTreeMap<String, usize>,
}

/// In-memory implementation of the platform's store.
#[derive(Clone, Default)]
pub(crate) struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl MemoryStore {
    /// Sets whether every call fails.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    /// Makes every call that concerns a kind fail.
    pub(crate) fn set_kind_down(&self, kind: &'static str) {
        self.state.lock().unwrap().down_kind = Some(kind);
    }

    /// Sets whether watches sent from now on get no answer. Those that wait already do.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
    }

    /// Number of watches that wait for a change.
    pub(crate) fn waiting_watches(&self) -> usize {
        self.state.lock().unwrap().waiting_watches
    }

    /// Number of watches that have begun while the store was silent.
    pub(crate) fn unanswered_watches(&self) -> usize {
        self.state.lock().unwrap().unanswered_watches
    }

    /// Number of calls that concern a kind.
    pub(crate) fn calls(&self, kind: &str) -> usize {
        self.state.lock().unwrap().calls.get(kind).copied().unwrap_or(0)
    }

    /// Value of an object; `None` if it does not exist.
    pub(crate) fn value(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|it| it.value.clone())
    }

    /// Writes an object without checking its version.
    pub(crate) fn write(&self, kind: &str, name: &str, value: &Value) {
        self.change(kind, name, Some(value));
    }

    /// Removes an object without checking its version.
    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Names of the objects of a kind.
    pub(crate) fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    /// Copies what the store holds.
    pub(crate) fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again,
    /// in another era.
    pub(crate) fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        let era = state.era << NUMBER_BITS;
        state.revision = era | copy.revision;
        state.objects = copy.objects;
        state.objects.values_mut().for_each(|it| it.version |= era);
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    fn change(&self, kind: &str, name: &str, value: Option<&Value>) -> Revision {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = value.map(|it| Object { version: revision, value: it.clone() });
        match &object {
            Some(object) => state.objects.insert(key.clone(), object.clone()),
            None => state.objects.remove(&key),
        };
        state.history.push((revision, key, object));
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    fn check(&self, kind: &str) -> Result<(), StoreError> {
        let mut state = self.state.lock().unwrap();
        *state.calls.entry(kind.to_owned()).or_default() += 1;
        if state.is_down || state.down_kind == Some(kind) {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn since(&self, kind: &str, since: Revision) -> ObjectList {
        let state = self.state.lock().unwrap();
        let mut list = ObjectList { revision: state.revision, ..ObjectList::default() };
        for (at, (of, name), object) in &state.history {
            if *at <= since || of != kind {
                continue;
            }
            list.objects.retain(|it| it.name != *name);
            match object {
                Some(it) => list.objects.push(NamedObject {
                    name: name.clone(),
                    version: it.version,
                    value: it.value.clone(),
                }),
                None => list.deleted.push(name.clone()),
            }
        }
        list
    }

    fn expect(&self, kind: &str, name: &str, expected: Revision) -> Result<(), StoreError> {
        self.check(kind)?;
        let state = self.state.lock().unwrap();
        let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
        if found.map_or(ABSENT_VERSION, |it| it.version) == expected {
            return Ok(());
        }
        Err(StoreError::Conflict(found.cloned().unwrap_or_default()))
    }
}

impl ObjectApi for MemoryStore {
    fn get(&self, kind: &str, name: &str) -> StoreFuture<Option<Object>> {
        let found = self.check(kind).map(|()| {
            let state = self.state.lock().unwrap();
            state.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        });
        Box::pin(async move { found })
    }

    fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        value: &Value,
    ) -> StoreFuture<Revision> {
        let checked = self.expect(kind, name, expected);
        let written = checked.map(|()| self.change(kind, name, Some(value)));
        Box::pin(async move { written })
    }

    fn delete(&self, kind: &str, name: &str, expected: Revision) -> StoreFuture<()> {
        let checked = self.expect(kind, name, expected);
        let removed = checked.map(|()| {
            self.change(kind, name, None);
        });
        Box::pin(async move { removed })
    }

    fn list(&self, kind: &str) -> StoreFuture<ObjectList> {
        let list = self.check(kind).map(|()| {
            let state = self.state.lock().unwrap();
            let of_kind = state.objects.iter().filter(|(key, _)| key.0 == kind);
            let objects = of_kind.map(|((_, name), it)| NamedObject {
                name: name.clone(),
                version: it.version,
                value: it.value.clone(),
            });
            let objects = objects.collect();
            ObjectList { revision: state.revision, objects, deleted: vec![] }
        });
        Box::pin(async move { list })
    }

    fn watch(&self, kind: &str, since: Revision, timeout: Duration) -> StoreFuture<ObjectList> {
        let (store, kind) = (self.clone(), kind.to_owned());
        let is_silent = self.state.lock().unwrap().is_silent;
        Box::pin(async move {
            if is_silent {
                store.state.lock().unwrap().unanswered_watches += 1;
                tokio::time::sleep(timeout + CALL_TIMEOUT).await;
                return Err(StoreError::Unavailable("no answer".to_owned()));
            }
            let _waiting = WaitingWatch::new(&store);
            let changed = async {
                loop {
                    let next = store.changed.notified();
                    store.check(&kind)?;
                    if since >> NUMBER_BITS != store.era() {
                        return Err(StoreError::HistoryExpired);
                    }
                    let list = store.since(&kind, since);
                    if !list.objects.is_empty() || !list.deleted.is_empty() {
                        return Ok(list);
                    }
                    next.await;
                }
            };
            let unchanged = || Ok(ObjectList { revision: since, ..ObjectList::default() });
            tokio::time::timeout(timeout, changed).await.unwrap_or_else(|_| unchanged())
        })
    }

    fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch(MemoryStore);

impl WaitingWatch {
    fn new(store: &MemoryStore) -> WaitingWatch {
        store.state.lock().unwrap().waiting_watches += 1;
        WaitingWatch(store.clone())
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().waiting_watches -= 1;
    }
}
