use bincode::{Decode, Encode};
use pollenlever_core::id::NodeId;

use super::{PeerReply, VERSION};
use crate::peer::WireError;
use crate::peer::reply_frame as current;

/// Head of a reply.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(in crate::peer) struct ReplyFrame {
    version: u16,
    from: NodeId,
    reply: PeerReply,
}

impl TryFrom<current::ReplyFrame> for ReplyFrame {
    type Error = WireError;

    fn try_from(it: current::ReplyFrame) -> Result<ReplyFrame, WireError> {
        Ok(ReplyFrame { version: VERSION, from: it.from, reply: it.reply.try_into()? })
    }
}

impl From<ReplyFrame> for current::ReplyFrame {
    fn from(it: ReplyFrame) -> current::ReplyFrame {
        current::ReplyFrame { version: it.version, from: it.from, reply: it.reply.into() }
    }
}
