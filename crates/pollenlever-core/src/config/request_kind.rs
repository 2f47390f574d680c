use std::time::Duration;

use bincode::{Decode, Encode};

use super::{Importance, Objective, PathPattern};
use crate::id::KindName;

/// A declared kind of request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RequestKind {
    /// Name, unique within the service.
    pub name: KindName,
    /// HTTP method in upper case.
    pub method: String,
    /// Paths that belong to the kind.
    pub path: PathPattern,
    /// Order in which requests are shed.
    pub importance: Importance,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether calls made inside a chain take a key derived from chain, method, path and body.
    pub derive_key: bool,
    /// Longest time that a caller waits.
    pub deadline: Duration,
    /// Retries allowed over the whole chain that starts with this kind.
    pub retry_budget: u32,
    /// Crashes of targets after which a request is refused.
    pub max_crashes: u32,
    /// Service-level objective.
    pub objective: Objective,
}

impl Default for RequestKind {
    fn default() -> RequestKind {
        RequestKind {
            name: "default".into(),
            method: "GET".to_owned(),
            path: PathPattern::from("/**"),
            importance: Importance::Normal,
            idempotent: true,
            derive_key: false,
            deadline: Duration::from_secs(2),
            retry_budget: 2,
            max_crashes: 2,
            objective: Objective::default(),
        }
    }
}
