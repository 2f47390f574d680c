use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, MembershipEvent, TargetState};
use pollenlever_core::mesh::MeshReply;
use pollenlever_core::routing::Routing;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};
use crate::gossip::MemberSink;

/// First wait between two probes of a lost member; doubles with each probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start for which a node that knows no other member has no share of the retries
/// that all nodes have in common: it may only have been restarted.
const MIN_TIME_ALONE: Duration = Duration::from_secs(3);

/// Applies changes of the members to the choice of gates and to the retry budget.
pub(super) struct MemberChanges {
    pub(super) shared: Arc<MeshShared>,
}

impl MemberSink for MemberChanges {
    fn update(&self, members: Vec<Member>) -> bool {
        for member in members {
            self.shared.on_member_updated(member);
        }
        self.shared.update_node_count();
        true
    }

    fn remove(&self, node: NodeId) -> bool {
        self.shared.on_member_removed(node);
        self.shared.peers.versions().forget(node);
        self.shared.update_node_count();
        true
    }
}

impl MeshShared {
    fn on_member_updated(self: &Arc<MeshShared>, member: Member) {
        let node = member.node;
        log_event!(
            LogEvent::MemberUp,
            "node={node} service={} state={:?}",
            member.service.as_deref().unwrap_or("none"),
            member.state
        );
        let is_same_service = member.service == Some(self.own_service());
        let now = self.clock.now();
        {
            let mut state = self.lock();
            state.lost.remove(&node.addr);
            state.routing.update_members(now, &[member]);
        }
        self.quota.on_members_changed();
        self.recall_departures(node);
        if is_same_service && node != self.me {
            self.send_suspicions(node);
        }
    }

    fn on_member_removed(&self, node: NodeId) {
        log_event!(LogEvent::MemberGone, "node={node}");
        let now = self.clock.now();
        let mut state = self.lock();
        state.lost.retain(|_, it| *it != node);
        state.routing.remove_members(now, &[node]);
        drop(state);
        self.quota.on_members_changed();
    }

    /// Updates the number of nodes that share the retry budget.
    pub(super) fn update_node_count(&self) {
        let nodes = self.members.read(|it| it.table().live().count());
        if nodes > 1 || self.clock.now() >= MIN_TIME_ALONE {
            self.downstream.set_node_count(nodes);
        }
    }

    /// Takes a member that does not answer out of use and probes it until it does, or until the
    /// members agree that it is gone.
    pub(super) fn member_lost(self: &Arc<MeshShared>, node: NodeId) {
        if !self.members.read(|it| it.table().is_live(node)) {
            return;
        }
        let now = self.clock.now();
        {
            let mut state = self.lock();
            if state.lost.insert(node.addr, node) == Some(node) {
                return;
            }
            state.routing.remove_members(now, &[node]);
        }
        self.quota.on_members_changed();
        log_event!(LogEvent::MemberLost, "node={node} reason=\"no reply\"");
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.probe(node).await });
    }

    async fn probe(self: Arc<MeshShared>, node: NodeId) {
        let mut interval = MIN_PROBE_INTERVAL;
        while self.lock().lost.get(&node.addr) == Some(&node) && !self.is_leaving() {
            if let Some(answering) = self.ask_for_routes_version(node.addr).await {
                self.member_answered(node, answering);
                return;
            }
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
            interval = (interval * 2).min(MAX_PROBE_INTERVAL);
        }
    }

    /// Returns a lost member to use. If another process answers at its address, its entry comes by
    /// gossip.
    fn member_answered(&self, lost: NodeId, answering: NodeId) {
        if answering != lost {
            self.members.notify(MembershipEvent::Seeds(vec![lost.addr]));
            return;
        }
        let member = self.members.read(|it| it.table().live().find(|it| it.node == lost).cloned());
        let now = self.clock.now();
        let mut state = self.lock();
        state.lost.remove(&lost.addr);
        if let Some(member) = member {
            log_event!(LogEvent::MemberUp, "node={lost} state={:?}", member.state);
            state.routing.update_members(now, &[member]);
        }
        drop(state);
        self.quota.on_members_changed();
    }

    /// Returns the process that answers at an address; `None` if none does.
    async fn ask_for_routes_version(self: &Arc<MeshShared>, addr: SocketAddr) -> Option<NodeId> {
        match self.offer_routes(addr).await {
            Some(MeshReply::RoutesVersion { node, .. }) => Some(node),
            _ => None,
        }
    }

    /// Number of other nodes in use, and of lost ones that do not answer.
    pub(super) fn member_counts(&self) -> (usize, usize) {
        let others = self.members.read(|it| it.table().live().count()).saturating_sub(1);
        let lost = self.lock().lost.len();
        (others.saturating_sub(lost), lost)
    }

    /// Number of other nodes whose targets accept requests.
    pub fn serving_member_count(&self) -> usize {
        let lost: Vec<NodeId> = self.lock().lost.values().copied().collect();
        let serves = |it: &&Member| {
            matches!(it.state, TargetState::Ready | TargetState::Cold)
                && it.node != self.me
                && !lost.contains(&it.node)
        };
        self.members.read(|it| it.table().live().filter(serves).count())
    }
}
