use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern, RequestKind};
use serde::{Deserialize, Serialize};

use super::{InvalidObject, ObjectiveObject};

/// A [`RequestKind`] as stored in JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the fields are those of `RequestKind`
pub struct KindObject {
    pub name: String,
    pub method: String,
    pub path: String,
    pub importance: String,
    pub idempotent: bool,
    pub derive_key: bool,
    pub deadline_ms: u64,
    pub retry_budget: u32,
    pub max_crashes: u32,
    pub objective: ObjectiveObject,
}

impl From<&RequestKind> for KindObject {
    fn from(kind: &RequestKind) -> KindObject {
        KindObject {
            name: kind.name.to_string(),
            method: kind.method.clone(),
            path: kind.path.as_str().to_owned(),
            importance: kind.importance.as_str().to_owned(),
            idempotent: kind.is_idempotent,
            derive_key: kind.derive_key,
            deadline_ms: kind.deadline.as_millis() as u64,
            retry_budget: kind.retry_budget,
            max_crashes: kind.max_crashes,
            objective: ObjectiveObject::from(&kind.objective),
        }
    }
}

impl TryFrom<&KindObject> for RequestKind {
    type Error = InvalidObject;

    fn try_from(object: &KindObject) -> Result<RequestKind, InvalidObject> {
        let importance: Importance = object
            .importance
            .parse()
            .map_err(|_| InvalidObject::UnknownImportance(object.importance.clone()))?;
        Ok(RequestKind {
            name: object.name.as_str().into(),
            method: object.method.clone(),
            path: PathPattern::from(object.path.as_str()),
            importance,
            is_idempotent: object.idempotent,
            derive_key: object.derive_key,
            deadline: Duration::from_millis(object.deadline_ms),
            retry_budget: object.retry_budget,
            max_crashes: object.max_crashes,
            objective: (&object.objective).into(),
        })
    }
}
