use bincode::{Decode, Encode};

use super::RequestClass;
use crate::config::Importance;
use crate::id::ChainId;

/// Position of a request in its chain of calls, and the properties that a call inherits from the
/// request in whose course a target makes it.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct Lineage {
    /// Id of the chain, chosen by the first node that received the caller's request.
    pub chain: ChainId,
    /// Importance (priority for load shedding) of the caller's request that started the chain.
    pub importance: Importance,
    /// Number of requests before this one in the chain; 0 for the caller's request.
    pub depth: u8,
    /// Probability, from 0 to 1, that the request repeats one that may have run already, because it
    /// or a request earlier in the chain was retried.
    pub repeat: f32,
}

impl Lineage {
    /// The lineage of the first request of a new chain.
    pub fn root(chain: ChainId, importance: Importance) -> Lineage {
        Lineage { chain, importance, depth: 0, repeat: 0.0 }
    }

    /// The lineage of a call that a target makes while it runs a request of this lineage.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::Lineage;
    /// let chain = "127.0.0.1:7101@1f~2a".parse().unwrap();
    /// let call = Lineage::root(chain, Importance::Critical).child();
    /// assert_eq!((call.depth, call.importance), (1, Importance::Critical));
    /// ```
    pub fn child(self) -> Lineage {
        Lineage { depth: self.depth.saturating_add(1), ..self }
    }

    /// Importance and depth of the request.
    pub fn class(self) -> RequestClass {
        RequestClass { importance: self.importance, depth: self.depth }
    }

    /// Whether a target makes this request while it runs another one.
    pub fn is_call(&self) -> bool {
        self.depth > 0
    }
}
