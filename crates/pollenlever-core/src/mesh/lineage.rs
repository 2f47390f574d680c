use bincode::{Decode, Encode};

use crate::config::Importance;
use crate::id::ChainId;

/// What a request inherits from the request that it is a call of.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct Lineage {
    /// The chain, drawn where a caller's request met its first node.
    pub chain: ChainId,
    /// Importance of the caller's request at the head of the chain.
    pub importance: Importance,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// Chance that the request repeats one that may have run, be it by a repeat further up.
    pub repeat: f32,
}

impl Lineage {
    /// The head of a new chain.
    pub fn head(chain: ChainId, importance: Importance) -> Lineage {
        Lineage { chain, importance, depth: 0, repeat: 0.0 }
    }

    /// A call of a request of this lineage.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::Lineage;
    /// let chain = "127.0.0.1:7101@1f~2a".parse().unwrap();
    /// let call = Lineage::head(chain, Importance::Critical).call();
    /// assert_eq!((call.depth, call.importance), (1, Importance::Critical));
    /// ```
    pub fn call(self) -> Lineage {
        Lineage { depth: self.depth.saturating_add(1), ..self }
    }

    /// Whether a target makes the request while it runs another one.
    pub fn is_call(&self) -> bool {
        self.depth > 0
    }
}
