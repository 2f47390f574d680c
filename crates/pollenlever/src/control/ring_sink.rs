use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::policy::Event;

use crate::gossip::MemberSink;
use crate::ring::RingSender;

/// Passes changes of members to the policy through its event ring.
pub(super) struct RingSink(pub(super) RingSender<Event>);

impl MemberSink for RingSink {
    fn update(&self, members: Vec<Member>) -> bool {
        self.0.push_blocking(Event::MembersUpdated(members)).is_ok()
    }

    fn remove(&self, node: NodeId) -> bool {
        log::info!("member gone node={node}");
        self.0.push_blocking(Event::MembersRemoved(vec![node])).is_ok()
    }
}
