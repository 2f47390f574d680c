use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::{Object, ObjectList, Revision, StoreError};

/// The result to come of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// The platform's object API: versioned objects with conditional updates and watches.
pub trait ObjectApi: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, kind: &str, name: &str) -> StoreFuture<Option<Object>>;

    /// Writes an object if its version is `expected`, [`ABSENT`](super::ABSENT) for a new one, and
    /// returns the new version.
    fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        value: &Value,
    ) -> StoreFuture<Revision>;

    /// Removes an object if its version is `expected`.
    fn delete(&self, kind: &str, name: &str, expected: Revision) -> StoreFuture<()>;

    /// Reads all objects of a kind.
    fn list(&self, kind: &str) -> StoreFuture<ObjectList>;

    /// Reads all objects of a kind, as they are or were some seconds ago, where that is cheaper. A
    /// watch from the list's revision tells what has changed since.
    fn list_maybe_stale(&self, kind: &str) -> StoreFuture<ObjectList> {
        self.list(kind)
    }

    /// Waits at most `timeout` for objects that changed after `since`.
    fn watch(&self, kind: &str, since: Revision, timeout: Duration) -> StoreFuture<ObjectList>;
}

/// The object API of whichever kind, shared by the threads of a process.
pub type BoxObjectApi = Arc<dyn ObjectApi>;
