use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Revision;

/// An object as read from the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Version; grows with each update.
    pub version: Revision,
    /// Any JSON value.
    pub value: Value,
}

/// An object in a list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NamedObject {
    /// Name within its kind.
    pub name: String,
    /// Version; grows with each update.
    pub version: Revision,
    /// Any JSON value.
    pub value: Value,
}

/// Objects of one kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision that the list covers; the next watch starts from it.
    pub revision: Revision,
    /// The objects in order of their names.
    pub objects: Vec<NamedObject>,
    /// Names of objects that were removed since the watch began.
    #[serde(default)]
    pub deleted: Vec<String>,
}
