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

/// Longest wait for the reply to an announcement or a question for routes.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait before another node is asked for newer routes: the store mostly brings them first.
const ROUTES_PAUSE: Duration = Duration::from_millis(300);
/// First wait before a lost member is asked again; doubles with each try.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait between two tries.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);
/// Tries after which a lost member is left to the store's list.
const MAX_PROBES: u32 = 60;

/// What nodes tell each other about themselves and their routes.
impl MeshShared {
    /// Takes what a member says about itself. Returns whether that was news.
    pub(super) fn member_up(&self, member: Member) -> bool {
        if member.node.addr == self.me.addr {
            return false;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.members.up(member);
        let is_news = !changes.is_empty();
        for change in &changes {
            if let MemberChange::Up(member) = change {
                log_event!(
                    LogEvent::MemberUp,
                    "node={} service={} state={:?}",
                    member.node,
                    member.service.as_deref().unwrap_or("none"),
                    member.state
                );
                state.lost.found(member.node.addr);
            }
        }
        state.apply(now, changes);
        is_news
    }

    /// The store no longer lists a member: takes it out of use unless it answers. A node that was
    /// cut off from the others may have removed the objects of all of them.
    pub(super) fn member_unlisted(self: &Arc<MeshShared>, node: NodeId) {
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            if !shared.announce(node.addr).await {
                shared.member_gone(node);
            }
        });
    }

    /// Forgets a process that is gone for good.
    pub(super) fn member_gone(&self, node: NodeId) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.lost.forget(node);
        state.names.remove(&node);
        let changes = state.members.gone(node);
        if changes.is_some() {
            log_event!(LogEvent::MemberGone, "node={node} source=store");
        }
        state.apply(now, changes.into_iter().collect());
    }

    /// Takes a member that does not answer out of use and asks it again until it does.
    pub(super) fn member_lost(self: &Arc<MeshShared>, node: NodeId) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            let changes = state.members.gone(node);
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

    /// Notes under which name the store lists a member.
    pub(super) fn name_member(&self, node: NodeId, name: &str) {
        self.lock().names.insert(node, name.to_owned());
    }

    /// Lost members whose objects this node is to remove now, with the names of the objects.
    pub(super) fn members_to_remove(&self) -> Vec<(String, NodeId)> {
        let now = self.clock.now();
        let state = self.lock();
        let others = state.members.iter().map(|it| it.node);
        let answering: Vec<NodeId> = others.chain([self.me]).collect();
        let due = state.lost.due(now, self.me, &answering);
        due.into_iter().filter_map(|it| Some((state.names.get(&it)?.clone(), it))).collect()
    }

    /// Tells the other gates of this node's service about requests that crash targets, for ever.
    pub(super) async fn spread_crash_news(self: Arc<MeshShared>) {
        loop {
            let news = self.gate.next_crash().await;
            let service = self.own_service();
            let gates: Vec<SocketAddr> = {
                let state = self.lock();
                let serving =
                    state.members.iter().filter(|it| it.service.as_ref() == Some(&service));
                serving.map(|it| it.node.addr).collect()
            };
            for addr in gates {
                let (shared, news) = (Arc::clone(&self), news.clone());
                tokio::spawn(async move { shared.ask(addr, MeshRequest::Suspects(news)).await });
            }
        }
    }

    /// Tells a node that says something new about itself, such as one that has just started, which
    /// requests crash targets.
    pub(super) fn share_suspects(self: &Arc<MeshShared>, node: NodeId) {
        let news = self.gate.known_suspects();
        if news.is_empty() {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.ask(node.addr, MeshRequest::Suspects(news)).await });
    }

    async fn probe(self: Arc<MeshShared>, addr: SocketAddr) {
        let mut pause = MIN_PROBE_PAUSE;
        for _ in 0..MAX_PROBES {
            if !self.lock().lost.contains(addr) || self.is_leaving() {
                return;
            }
            self.announce(addr).await;
            let spread = rand::random_range(0.75..1.25);
            tokio::time::sleep(pause.mul_f64(spread)).await;
            pause = (pause * 2).min(MAX_PROBE_PAUSE);
        }
    }

    /// Tells all members about this node.
    pub(super) fn announce_to_all(self: &Arc<MeshShared>) {
        let addrs: Vec<SocketAddr> = self.lock().members.iter().map(|it| it.node.addr).collect();
        for addr in addrs {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.announce(addr).await });
        }
    }

    /// Tells the node at an address about this one and hears about it in return. Returns whether it
    /// answered.
    async fn announce(self: &Arc<MeshShared>, addr: SocketAddr) -> bool {
        let req = MeshRequest::Announce(self.own(), self.route_version());
        match self.ask(addr, req).await {
            Some(MeshReply::Announced(member, routes)) => {
                let node = member.node;
                self.member_up(member);
                self.note_routes(node, routes);
                true
            }
            Some(reply) => {
                log::warn!("unexpected reply node={addr} reply={reply:?}");
                false
            }
            None => false,
        }
    }

    /// Notes the version of another node's routes and asks for them if they are newer.
    pub(super) fn note_routes(self: &Arc<MeshShared>, node: NodeId, version: RouteVersion) {
        let known = self.route_version();
        if version <= known {
            return;
        }
        if self.asks_routes.swap(true, Ordering::Relaxed) {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(ROUTES_PAUSE).await;
            shared.fetch_routes(node, version).await;
            shared.asks_routes.store(false, Ordering::Relaxed);
        });
    }

    /// Asks a node for its routes, unless they have come from the store meanwhile.
    async fn fetch_routes(&self, node: NodeId, version: RouteVersion) {
        let known = self.route_version();
        if version <= known {
            return;
        }
        let reply = self.ask(node.addr, MeshRequest::Routes(known)).await;
        if let Some(MeshReply::Routes(Some(table))) = reply {
            self.apply_routes(table, "peer");
        }
    }

    async fn ask(&self, addr: SocketAddr, req: MeshRequest) -> Option<MeshReply> {
        let to = NodeId { addr, incarnation: ANY_INCARNATION };
        let asked = self.peers.exchange(to, PeerRequest::Mesh(req), Bytes::new());
        match tokio::time::timeout(NEWS_TIMEOUT, asked).await {
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
