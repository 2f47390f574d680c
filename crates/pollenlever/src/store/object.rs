use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Revision;

/// Version and value of an object in the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Version; grows with each update.
    pub version: Revision,
    /// Any JSON value.
    pub value: Value,
}

/// An object of an [`ObjectList`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NamedObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Version; grows with each update.
    pub version: Revision,
    /// Any JSON value.
    pub value: Value,
}

/// Objects of one kind, as returned by a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision up to which the list is complete; the next watch starts from it.
    pub revision: Revision,
    /// The objects, sorted by name.
    pub objects: Vec<NamedObject>,
    /// Names of objects that were removed since the watch began.
    #[serde(default)]
    pub deleted: Vec<String>,
}
