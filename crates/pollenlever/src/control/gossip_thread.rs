use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::membership::{Member, Membership, MembershipAction, MembershipEvent};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;

use super::cell::Cell;
use crate::peer::BoxPeerSender;
use crate::ring::Ring;

/// Carries out the actions of [`Membership`].
pub(super) struct GossipThread {
    pub(super) members: Arc<Cell<Membership>>,
    pub(super) sender: BoxPeerSender,
    pub(super) events: Ring<Event>,
}

impl GossipThread {
    /// Runs until the cell is stopped or the policy is gone.
    pub(super) async fn run(self) {
        while !self.members.is_stopped() {
            let actions = self.members.tick(MembershipEvent::Tick);
            if !self.perform(actions) {
                return;
            }
            self.members.wait().await;
        }
    }

    /// Carries out actions in order. Returns whether the policy still listens.
    fn perform(&self, actions: Vec<MembershipAction>) -> bool {
        let mut up: Vec<Member> = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Up(member) => up.push(member),
                MembershipAction::Gone(node) => {
                    log::info!("member gone node={node}");
                    let is_heard = self.flush(&mut up)
                        && self.events.push_wait(Event::MembersGone(vec![node])).is_ok();
                    if !is_heard {
                        return false;
                    }
                }
                MembershipAction::Send { .. } => self.send(action),
                MembershipAction::Reply(_) => {}
            }
        }
        self.flush(&mut up)
    }

    fn flush(&self, up: &mut Vec<Member>) -> bool {
        up.is_empty() || self.events.push_wait(Event::MembersUp(std::mem::take(up))).is_ok()
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
