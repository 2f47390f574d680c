use bytes::Bytes;

use crate::Timestamp;
use crate::id::StreamId;
use crate::message::PeerReply;
use crate::policy::Action;

/// Time of the event being handled and the list to which its actions are appended.
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) out: &'a mut Vec<Action>,
}

impl Context<'_> {
    pub(super) fn push(&mut self, action: Action) {
        self.out.push(action);
    }

    pub(super) fn reply(&mut self, stream: StreamId, reply: PeerReply) {
        self.push(Action::Reply(stream, reply, Bytes::new()));
    }
}
