use bincode::{Decode, Encode};
use pollenlever_core::id::NodeId;
use pollenlever_core::message::PeerReply;

/// Head of a reply.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ReplyFrame {
    /// Protocol version of the sender. Always the first field, so that nodes of other versions can
    /// read it.
    pub version: u16,
    /// The node that replies.
    pub from: NodeId,
    /// The reply.
    pub reply: PeerReply,
}
