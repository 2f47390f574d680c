use bincode::{Decode, Encode};
use pollenlever_core::id::NodeId;
use pollenlever_core::message::PeerReply;

/// Head of the reply on a stream.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ReplyFrame {
    /// Version of the protocol that the sender speaks; always the first field.
    pub version: u16,
    /// The node that replies.
    pub from: NodeId,
    /// The reply.
    pub reply: PeerReply,
}
