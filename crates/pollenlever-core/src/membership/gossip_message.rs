use bincode::{Decode, Encode};

use super::{BucketId, Change, Digest};
use crate::id::NodeId;

/// Why a gossip message is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub enum GossipPurpose {
    /// Spread changes; without any it is a heartbeat. Also the plain reply.
    #[default]
    Push,
    /// Ask the receiver to probe a node that the sender cannot reach.
    ProbeFor(NodeId),
    /// Tell the receiver that a node which it asked about answers.
    Reached(NodeId),
    /// Ask for the entries in which the tables differ.
    Sync {
        /// Digest of the sender's table.
        digest: Digest,
        /// Bucket from which the receiver is to start.
        first: BucketId,
    },
    /// Reply to a sync with all entries of some buckets that differ.
    Buckets {
        /// The buckets.
        buckets: Vec<BucketId>,
        /// Whether other buckets differ as well.
        more: bool,
    },
}

/// Membership news from one node to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// Why the message is sent.
    pub purpose: GossipPurpose,
    /// Changes for the receiver to merge.
    pub changes: Vec<Change>,
}

impl GossipMessage {
    /// A message that spreads `changes`.
    pub fn push(changes: Vec<Change>) -> GossipMessage {
        GossipMessage { purpose: GossipPurpose::Push, changes }
    }

    /// Bytes of the message as it travels.
    ///
    /// ```
    /// use pollenlever_core::membership::GossipMessage;
    /// assert_eq!(GossipMessage::default().encoded_len(), 2);
    /// ```
    pub fn encoded_len(&self) -> usize {
        bincode::encode_to_vec(self, bincode::config::standard()).map_or(0, |it| it.len())
    }
}
