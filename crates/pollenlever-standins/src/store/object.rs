use rocket::serde::{Deserialize, Serialize};
use serde_json::Value;

/// An object without its name. Version 0 means that the object does not exist.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde")]
pub struct StoredObject {
    /// The store's revision at the last update.
    pub version: u64,
    /// Any JSON value.
    pub value: Value,
}

/// An object with its name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde")]
pub struct Change {
    /// Name, unique within the kind (type of object).
    pub name: String,
    /// The store's revision at the last update.
    pub version: u64,
    /// Any JSON value.
    pub value: Value,
}

/// Answer to a list or a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(crate = "rocket::serde")]
pub struct ObjectList {
    /// Revision that the answer covers; the next watch starts from it.
    pub revision: u64,
    /// Objects in order of their names.
    pub objects: Vec<Change>,
}
