use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::membership::{Member, Membership, MembershipAction, MembershipEvent};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;

use super::shared_machine::SharedMachine;
use crate::peer::SharedPeerSender;
use crate::ring::RingSender;

/// Runs [`Membership`]: sends its messages to peers and its changes of members to the policy.
pub(super) struct GossipThread {
    pub(super) members: Arc<SharedMachine<Membership>>,
    pub(super) sender: SharedPeerSender,
    pub(super) events: RingSender<Event>,
}

impl GossipThread {
    /// Runs until the state machine is stopped or the policy's event ring is closed.
    pub(super) async fn run(self) {
        while !self.members.is_stopped() {
            let actions = self.members.tick(MembershipEvent::Tick);
            if !self.perform(actions) {
                return;
            }
            self.members.wait_for_work().await;
        }
    }

    /// Carries out actions in order. Returns `false` if the policy's event ring is closed.
    fn perform(&self, actions: Vec<MembershipAction>) -> bool {
        let mut updated: Vec<Member> = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Updated(member) => updated.push(member),
                MembershipAction::Removed(node) => {
                    log::info!("member gone node={node}");
                    let is_delivered = self.flush(&mut updated)
                        && self.events.push_blocking(Event::MembersRemoved(vec![node])).is_ok();
                    if !is_delivered {
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
        updated.is_empty()
            || self.events.push_blocking(Event::MembersUpdated(std::mem::take(updated))).is_ok()
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
