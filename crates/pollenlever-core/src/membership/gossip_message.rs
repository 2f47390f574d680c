use bincode::{Decode, Encode};

use super::{BucketId, Change, Digest};
use crate::id::NodeId;

/// Purpose of a gossip message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub enum GossipPurpose {
    /// Propagate changes; a heartbeat if there are none. Also used for replies other than
    /// `Buckets`.
    #[default]
    Push,
    /// Ask the receiver to probe a node that the sender cannot reach.
    IndirectProbe(NodeId),
    /// Report that this node answered the probe for which the receiver had asked the sender.
    ProbeSucceeded(NodeId),
    /// Ask for entries in which the tables of sender and receiver differ.
    Sync {
        /// Digest of the sender's table.
        digest: Digest,
        /// First bucket that the receiver compares; the others follow in cyclic order.
        first: BucketId,
    },
    /// Reply to a sync with all entries of some of the differing buckets.
    Buckets {
        /// The buckets.
        buckets: Vec<BucketId>,
        /// Whether further buckets differ.
        has_more: bool,
    },
}

/// A membership message from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// Purpose of the message.
    pub purpose: GossipPurpose,
    /// Changes for the receiver to merge.
    pub changes: Vec<Change>,
}

impl GossipMessage {
    /// A message that propagates `changes`.
    pub fn push(changes: Vec<Change>) -> GossipMessage {
        GossipMessage { purpose: GossipPurpose::Push, changes }
    }

    /// Size of the encoded message in bytes; 0 if it cannot be encoded.
    ///
    /// ```
    /// use pollenlever_core::membership::GossipMessage;
    /// assert_eq!(GossipMessage::default().encoded_len(), 2);
    /// ```
    pub fn encoded_len(&self) -> usize {
        bincode::encode_to_vec(self, bincode::config::standard()).map_or(0, |it| it.len())
    }
}
