use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::{ANY_INCARNATION, NodeId};
use pollenlever_core::mesh::{MeshReply, MeshRequest, RouteVersion};
use pollenlever_core::message::{PeerReply, PeerRequest};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::MeshShared;

/// Timeout of a control request to another node.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two comparisons of route versions with one linked node, which repair lost offers.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before routes are fetched from a node whose reply to a request shows a newer version:
/// usually they arrive by themselves.
const FETCH_DELAY: Duration = Duration::from_millis(300);

/// Spread of routes between nodes. A few nodes read them from the store; every node offers a new
/// version to the nodes that its gossip links lead to.
impl MeshShared {
    /// Offers new versions to all linked nodes, tells them when the routes were confirmed, and
    /// compares versions with one of them from time to time, for as long as the node runs.
    pub(super) async fn spread_routes(self: Arc<MeshShared>) {
        let mut compare_at = Instant::now();
        loop {
            tokio::select! {
                () = self.routes_changed.notified() => {
                    for node in self.linked_nodes() {
                        self.spawn_offer(node);
                    }
                }
                () = self.routes_confirmed.notified() => self.announce_confirmation(),
                () = tokio::time::sleep(self.time_to_ask()) => self.ask_for_confirmation(),
                () = tokio::time::sleep_until(compare_at) => {
                    let jitter = rand::random_range(0.75..1.25);
                    compare_at = Instant::now() + COMPARE_INTERVAL.mul_f64(jitter);
                    self.update_node_count();
                    if let Some(node) = self.linked_nodes().choose(&mut rand::rng()) {
                        self.spawn_offer(*node);
                    }
                }
            }
        }
    }

    pub(super) fn linked_nodes(&self) -> Vec<NodeId> {
        self.members.read(|it| it.links().iter().map(|link| link.node).collect())
    }

    fn spawn_offer(self: &Arc<MeshShared>, node: NodeId) {
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.offer_routes(node.addr).await });
    }

    /// Tells the node at `addr` the version of this node's routes, and fetches its routes if they
    /// are newer. Returns its reply; `None` if there is none.
    pub(super) async fn offer_routes(
        self: &Arc<MeshShared>,
        addr: SocketAddr,
    ) -> Option<MeshReply> {
        let reply = self.call_peer(addr, MeshRequest::OfferRoutes(self.route_version())).await?;
        if let MeshReply::RoutesVersion { node, version } = &reply {
            self.fetch_routes_if_newer(*node, *version, Duration::ZERO);
        }
        Some(reply)
    }

    /// Handles the offer of another node, whose routes have `version`.
    pub(super) fn on_routes_offered(
        self: &Arc<MeshShared>,
        from: NodeId,
        version: RouteVersion,
    ) -> MeshReply {
        self.fetch_routes_if_newer(from, version, Duration::ZERO);
        MeshReply::RoutesVersion { node: self.me, version: self.route_version() }
    }

    /// Fetches a node's routes if the version in its reply to a request is newer.
    pub(super) fn on_version_in_reply(self: &Arc<MeshShared>, node: NodeId, version: RouteVersion) {
        self.fetch_routes_if_newer(node, version, FETCH_DELAY);
    }

    pub(super) fn fetch_routes_if_newer(
        self: &Arc<MeshShared>,
        node: NodeId,
        version: RouteVersion,
        delay: Duration,
    ) {
        if version <= self.route_version() || self.is_fetching_routes.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.fetch_routes(node, version).await;
            shared.is_fetching_routes.store(false, Ordering::Relaxed);
        });
    }

    /// Fetches the routes of a node, unless they have arrived in another way meanwhile.
    async fn fetch_routes(&self, node: NodeId, version: RouteVersion) {
        let known = self.route_version();
        if version <= known {
            return;
        }
        if !self.sends_workspaces(node) {
            self.is_routes_read_due.store(true, Ordering::Relaxed);
            return;
        }
        let reply = self.call_peer(node.addr, MeshRequest::Routes(known)).await;
        if let Some(MeshReply::Routes(Some(table))) = reply {
            self.apply_routes(table, "peer");
        }
    }

    /// Sends a control request to the process at an address; `None` without a reply.
    pub(super) async fn call_peer(&self, addr: SocketAddr, req: MeshRequest) -> Option<MeshReply> {
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
