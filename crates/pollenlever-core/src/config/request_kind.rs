use std::time::Duration;

use bincode::{Decode, Encode};

use super::{Importance, Objective, PathPattern};
use crate::id::KindName;

/// A kind of request: requests of a service with one method and path pattern, and the settings that
/// apply to them.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RequestKind {
    /// Name, unique within the service.
    pub name: KindName,
    /// HTTP method in upper case.
    pub method: String,
    /// Pattern of the paths that belong to the kind.
    pub path: PathPattern,
    /// Importance: under overload, the least important requests are shed first.
    pub importance: Importance,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether calls made by targets get a key derived from chain, method, path and body.
    pub derive_key: bool,
    /// Longest time that a caller waits for the answer.
    pub deadline: Duration,
    /// Maximum number of retries in a whole chain of calls that starts with this kind.
    pub retry_budget: u32,
    /// Number of target crashes from which a request is refused as suspect.
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
            is_idempotent: true,
            derive_key: false,
            deadline: Duration::from_secs(2),
            retry_budget: 2,
            max_crashes: 2,
            objective: Objective::default(),
        }
    }
}
