use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::{Object, ObjectList, Revision, StoreError};

/// Future of a call to the store.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// The platform's object API: versioned objects with conditional updates and watches.
pub trait ObjectApi: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, kind: &str, name: &str) -> StoreFuture<Option<Object>>;

    /// Compare-and-swap: writes an object if its version is `expected`, or
    /// [`ABSENT_VERSION`](super::ABSENT_VERSION) for a new object, and returns the new version.
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

    /// Reads all objects of a kind. The list may be some seconds old where that is cheaper; a watch
    /// from its revision returns the changes since.
    fn list_allowing_stale(&self, kind: &str) -> StoreFuture<ObjectList> {
        self.list(kind)
    }

    /// Waits at most `timeout` for changes after the revision `since` and returns the changed
    /// objects; the list is empty if there were none.
    fn watch(&self, kind: &str, since: Revision, timeout: Duration) -> StoreFuture<ObjectList>;

    /// Era of the store, as far as its answers have told: it grows each time that the store comes back
    /// from an older copy of its objects. Writes since the copy are lost then, and whoever wants them
    /// kept has to write them again.
    fn era(&self) -> u64 {
        0
    }
}

/// An object API that the threads of a process share.
pub type SharedObjectApi = Arc<dyn ObjectApi>;
