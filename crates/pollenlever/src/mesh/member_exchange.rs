use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::{ANY_INCARNATION, NodeId};
use pollenlever_core::membership::Member;
use pollenlever_core::mesh::{MemberChange, MeshReply, MeshRequest, RouteVersion};
use pollenlever_core::message::{PeerReply, PeerRequest};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// Timeout of an announcement and of a request for routes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before routes are fetched from another node: usually the store delivers them first.
const ROUTES_FETCH_DELAY: Duration = Duration::from_millis(300);
/// First wait between two probes of a lost member; doubles with each probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Probes after which a lost member is no longer probed and is left to the store's list.
const MAX_PROBES: u32 = 60;

/// Exchange of membership, routes and crash suspects between nodes.
impl MeshShared {
    /// Merges a member's announcement. Returns whether it changed anything.
    pub(super) fn on_member_updated(&self, member: Member) -> bool {
        if member.node.addr == self.me.addr {
            return false;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.members.upsert(member);
        let has_changes = !changes.is_empty();
        for change in &changes {
            if let MemberChange::Up(member) = change {
                log_event!(
                    LogEvent::MemberUp,
                    "node={} service={} state={:?}",
                    member.node,
                    member.service.as_deref().unwrap_or("none"),
                    member.state
                );
                state.lost.record_answer(member.node.addr);
            }
        }
        state.apply(now, changes);
        has_changes
    }

    /// Records that the members were listed, even if there are none.
    pub(super) fn record_members_known(&self) {
        self.lock().apply(self.clock.now(), Vec::new());
    }

    /// Handles a member that the store no longer lists: it is removed unless it answers an
    /// announcement. A node that was partitioned from the others may have removed the objects of
    /// all of them.
    pub(super) fn member_unlisted(self: &Arc<MeshShared>, node: NodeId) {
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            if !shared.announce(node.addr).await {
                shared.on_member_removed(node);
            }
        });
    }

    /// Removes a node process that has gone for good.
    pub(super) fn on_member_removed(&self, node: NodeId) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.lost.forget(node);
        state.object_names.remove(&node);
        let changes = state.members.remove(node);
        if changes.is_some() {
            log_event!(LogEvent::MemberGone, "node={node} source=store");
        }
        state.apply(now, changes.into_iter().collect());
    }

    /// Takes a member that does not answer out of use and probes it until it does.
    pub(super) fn member_lost(self: &Arc<MeshShared>, node: NodeId) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            let changes = state.members.remove(node);
            if changes.is_none() {
                return;
            }
            log_event!(LogEvent::MemberLost, "node={node} reason=\"no reply\"");
            state.lost.insert(now, node);
            state.apply(now, changes.into_iter().collect());
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.probe(node.addr).await });
    }

    /// Records the name under which the store lists a member.
    pub(super) fn record_member_name(&self, node: NodeId, name: &str) {
        self.lock().object_names.insert(node, name.to_owned());
    }

    /// Lost members whose objects this node is to delete from the store now, each with its object's
    /// name.
    pub(super) fn members_to_remove(&self) -> Vec<(String, NodeId)> {
        let now = self.clock.now();
        let state = self.lock();
        let others = state.members.iter().map(|it| it.node);
        let answering: Vec<NodeId> = others.chain([self.me]).collect();
        let due = state.lost.due_removals(now, self.me, &answering);
        due.into_iter().filter_map(|it| Some((state.object_names.get(&it)?.clone(), it))).collect()
    }

    /// Sends newly suspected requests to the other gates of this node's service, for as long as the
    /// node runs.
    pub(super) async fn broadcast_suspicions(self: Arc<MeshShared>) {
        loop {
            let suspicions = self.gate.next_crash_suspicions().await;
            let service = self.own_service();
            let gates: Vec<SocketAddr> = {
                let state = self.lock();
                let serving =
                    state.members.iter().filter(|it| it.service.as_ref() == Some(&service));
                serving.map(|it| it.node.addr).collect()
            };
            for addr in gates {
                let (shared, suspicions) = (Arc::clone(&self), suspicions.clone());
                tokio::spawn(async move {
                    shared.call_peer(addr, MeshRequest::Suspects(suspicions)).await
                });
            }
        }
    }

    /// Sends a node the requests suspected of crashing targets. Called for nodes whose announcement
    /// is new, such as one that has just started.
    pub(super) fn send_suspicions(self: &Arc<MeshShared>, node: NodeId) {
        let suspicions = self.gate.known_suspects();
        if suspicions.is_empty() {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            shared.call_peer(node.addr, MeshRequest::Suspects(suspicions)).await
        });
    }

    async fn probe(self: Arc<MeshShared>, addr: SocketAddr) {
        let mut interval = MIN_PROBE_INTERVAL;
        for _ in 0..MAX_PROBES {
            if !self.lock().lost.contains(addr) || self.is_leaving() {
                return;
            }
            self.announce(addr).await;
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
            interval = (interval * 2).min(MAX_PROBE_INTERVAL);
        }
    }

    /// Announces this node to all members.
    pub(super) fn announce_to_all(self: &Arc<MeshShared>) {
        let addrs: Vec<SocketAddr> = self.lock().members.iter().map(|it| it.node.addr).collect();
        for addr in addrs {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.announce(addr).await });
        }
    }

    /// Announces this node to the one at `addr` and merges its reply. Returns whether it replied.
    async fn announce(self: &Arc<MeshShared>, addr: SocketAddr) -> bool {
        let req = MeshRequest::Announce(self.own_member(), self.route_version());
        match self.call_peer(addr, req).await {
            Some(MeshReply::Announced(member, routes)) => {
                let node = member.node;
                self.on_member_updated(member);
                self.fetch_routes_if_newer(node, routes);
                true
            }
            Some(reply) => {
                log::warn!("unexpected reply node={addr} reply={reply:?}");
                false
            }
            None => false,
        }
    }

    /// Fetches another node's routes after a short delay if its version is newer.
    pub(super) fn fetch_routes_if_newer(
        self: &Arc<MeshShared>,
        node: NodeId,
        version: RouteVersion,
    ) {
        let known = self.route_version();
        if version <= known {
            return;
        }
        if self.is_fetching_routes.swap(true, Ordering::Relaxed) {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(ROUTES_FETCH_DELAY).await;
            shared.fetch_routes(node, version).await;
            shared.is_fetching_routes.store(false, Ordering::Relaxed);
        });
    }

    /// Fetches the routes of a node, unless the store has delivered them meanwhile.
    async fn fetch_routes(&self, node: NodeId, version: RouteVersion) {
        let known = self.route_version();
        if version <= known {
            return;
        }
        let reply = self.call_peer(node.addr, MeshRequest::Routes(known)).await;
        if let Some(MeshReply::Routes(Some(table))) = reply {
            self.apply_routes(table, "peer");
        }
    }

    async fn call_peer(&self, addr: SocketAddr, req: MeshRequest) -> Option<MeshReply> {
        let to = NodeId { addr, incarnation: ANY_INCARNATION };
        let exchange = self.peers.exchange(to, PeerRequest::Mesh(req), Bytes::new());
        match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok((PeerReply::Mesh(reply), _))) => Some(reply),
            Ok(Ok((reply, _))) => {
                log::warn!("unexpected reply node={addr} reply={reply:?}");
                None
            }
            Ok(Err(err)) => {
                log::debug!("no reply node={addr} reason={:?}", err.reason);
                None
            }
            Err(_) => {
                log::debug!("no reply node={addr} reason=timeout");
                None
            }
        }
    }
}
