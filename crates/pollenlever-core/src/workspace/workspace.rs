use bincode::{Decode, Encode};

use super::{KeyDigest, QuotaLimit};
use crate::id::WorkspaceName;

/// A party on whose behalf callers send requests.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Workspace {
    /// Name, unique within the route table; targets get it with each request.
    pub name: WorkspaceName,
    /// Digests of the API keys with which its callers identify themselves.
    pub keys: Vec<KeyDigest>,
    /// Order of load shedding, which goes before that of the route; 0 is shed last. `None` leaves it to
    /// the route.
    pub shed_order: Option<u32>,
    /// Limit over all nodes together; `None` if there is none.
    pub quota: Option<QuotaLimit>,
}

impl Default for Workspace {
    fn default() -> Workspace {
        Workspace { name: "default".into(), keys: Vec::new(), shed_order: None, quota: None }
    }
}
