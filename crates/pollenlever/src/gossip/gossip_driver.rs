use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{
    GossipMessage, Member, Membership, MembershipAction, MembershipEvent,
};
use pollenlever_core::message::{PeerReply, PeerRequest};

use super::{MemberSink, SharedMachine, SharedMembership};
use crate::peer::SharedPeerSender;

/// Runs [`Membership`]: sends its messages to peers and passes changes of members on.
pub(crate) struct GossipDriver<S> {
    pub(crate) members: SharedMembership,
    pub(crate) sender: SharedPeerSender,
    pub(crate) sink: S,
}

/// Handles a gossip message of a peer and returns the reply.
pub(crate) fn reply_to_gossip(
    members: &SharedMachine<Membership>,
    from: NodeId,
    message: GossipMessage,
) -> GossipMessage {
    let event = MembershipEvent::Message(from, message);
    let is_reply = |it: &_| matches!(it, MembershipAction::Reply(_));
    match members.handle_event(event, is_reply) {
        Some(MembershipAction::Reply(reply)) => reply,
        _ => GossipMessage::default(),
    }
}

impl<S: MemberSink> GossipDriver<S> {
    /// Runs until the state machine is stopped or the sink has ended.
    pub(crate) async fn run(self) {
        while !self.members.is_stopped() {
            let actions = self.members.tick(MembershipEvent::Tick);
            if !self.perform(actions) {
                return;
            }
            self.members.wait_for_work().await;
        }
    }

    /// Carries out actions in order. Returns `false` if the sink has ended.
    fn perform(&self, actions: Vec<MembershipAction>) -> bool {
        let mut updated: Vec<Member> = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Updated(member) => updated.push(member),
                MembershipAction::Removed(node) => {
                    if !self.flush(&mut updated) || !self.sink.remove(node) {
                        return false;
                    }
                }
                MembershipAction::Send { .. } => self.send(action),
                MembershipAction::Reply(_) => {}
            }
        }
        self.flush(&mut updated)
    }

    fn flush(&self, updated: &mut Vec<Member>) -> bool {
        updated.is_empty() || self.sink.update(std::mem::take(updated))
    }

    fn send(&self, action: MembershipAction) {
        let MembershipAction::Send { exchange, to, message, timeout } = action else { return };
        let members = Arc::clone(&self.members);
        let reply = self.sender.send(to, PeerRequest::Gossip(message), Bytes::new(), timeout);
        tokio::spawn(async move {
            match reply.await {
                Ok((PeerReply::Gossip(reply), _)) => {
                    members.notify(MembershipEvent::Reply(exchange, reply));
                }
                other => {
                    log::debug!("gossip failed to={to} result={:?}", other.err());
                    members.notify(MembershipEvent::Failed(exchange));
                }
            }
        });
    }
}
