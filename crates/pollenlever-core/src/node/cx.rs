use bytes::Bytes;

use crate::Timestamp;
use crate::id::StreamId;
use crate::message::PeerReply;
use crate::policy::Action;

/// Time of the event being handled and the actions that follow from it.
pub(super) struct Cx<'a> {
    pub(super) now: Timestamp,
    pub(super) out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    pub(super) fn push(&mut self, action: Action) {
        self.out.push(action);
    }

    pub(super) fn reply(&mut self, stream: StreamId, reply: PeerReply) {
        self.push(Action::Reply(stream, reply, Bytes::new()));
    }
}
