use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pollenlever::store::{Object, ObjectApi, ObjectList, Revision, StoreError, StoreFuture};
use serde_json::Value;
use tokio::sync::watch;

use super::memory_store::MemoryStore;

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How the store treats a node that it does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Each call fails at once, also those that wait.
    Error,
    /// No call gets an answer.
    Silence,
}

/// The store as one node sees it: it may refuse this node while it serves the others.
#[derive(Clone)]
pub(crate) struct StoreView {
    store: MemoryStore,
    refusal: Arc<watch::Sender<Option<Refusal>>>,
    open_watches: Arc<AtomicUsize>,
}

impl StoreView {
    pub(crate) fn new(store: MemoryStore) -> StoreView {
        StoreView { store, refusal: Arc::new(watch::channel(None).0), open_watches: Arc::default() }
    }

    /// Sets how this node is refused; `None` serves it.
    pub(crate) fn set_refusal(&self, refusal: Option<Refusal>) {
        self.refusal.send_replace(refusal);
    }

    /// Whether the node waits for a change.
    pub(crate) fn is_watching(&self) -> bool {
        self.open_watches.load(Ordering::Relaxed) > 0
    }

    /// Completes a call unless the node is refused meanwhile.
    fn guard<T: Send + 'static>(&self, call: StoreFuture<T>, timeout: Duration) -> StoreFuture<T> {
        let mut refusal = self.refusal.subscribe();
        Box::pin(async move {
            let refused = tokio::select! {
                biased;
                changed = refusal.wait_for(Option::is_some) => changed.map(|it| *it),
                result = call => return result,
            };
            if let Ok(Some(Refusal::Silence)) = refused {
                tokio::time::sleep(timeout).await;
            }
            Err(StoreError::Unavailable("refused".to_owned()))
        })
    }
}

impl ObjectApi for StoreView {
    fn get(&self, kind: &str, name: &str) -> StoreFuture<Option<Object>> {
        self.guard(self.store.get(kind, name), CALL_TIMEOUT)
    }

    fn put(&self, kind: &str, name: &str, at: Revision, value: &Value) -> StoreFuture<Revision> {
        if self.refusal.borrow().is_some() {
            return self.guard(Box::pin(std::future::pending()), CALL_TIMEOUT);
        }
        self.store.put(kind, name, at, value)
    }

    fn delete(&self, kind: &str, name: &str, at: Revision) -> StoreFuture<()> {
        if self.refusal.borrow().is_some() {
            return self.guard(Box::pin(std::future::pending()), CALL_TIMEOUT);
        }
        self.store.delete(kind, name, at)
    }

    fn list(&self, kind: &str) -> StoreFuture<ObjectList> {
        self.guard(self.store.list(kind), CALL_TIMEOUT)
    }

    fn watch(&self, kind: &str, since: Revision, timeout: Duration) -> StoreFuture<ObjectList> {
        let call = self.guard(self.store.watch(kind, since, timeout), timeout + CALL_TIMEOUT);
        let open = Arc::clone(&self.open_watches);
        Box::pin(async move {
            open.fetch_add(1, Ordering::Relaxed);
            let result = call.await;
            open.fetch_sub(1, Ordering::Relaxed);
            result
        })
    }

    fn era(&self) -> u64 {
        self.store.era()
    }
}
