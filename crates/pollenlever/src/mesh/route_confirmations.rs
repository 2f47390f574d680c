use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{MeshReply, MeshRequest, RouteConfirmation};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// What nodes know of how new their routes are. A node that reads the store confirms its routes;
/// every node passes the latest confirmation on to the nodes that its gossip links lead to.
impl MeshShared {
    /// Records that the store held no newer routes at `at`, on the node's clock.
    pub(super) fn confirm_routes(&self, at: Duration) {
        let mut state = self.lock();
        state.route_freshness.confirm(at);
        if state.route_freshness.is_announcement_due() {
            self.routes_confirmed.notify_one();
        }
    }

    /// The latest time at which the store held no newer routes, on the node's clock; zero if that is
    /// not known.
    pub(super) fn routes_confirmed_at(&self) -> Duration {
        self.lock().route_freshness.confirmed_at()
    }

    /// Time since then.
    pub(super) fn routes_confirmed_age(&self) -> Duration {
        self.lock().route_freshness.age(self.clock.now())
    }

    /// Notes the era of the store that this node or another one has seen.
    pub(super) fn observe_store_era(&self, era: u64) {
        self.store_era.send_if_modified(|known| {
            let before = *known;
            *known = before.max(Some(era));
            let is_changed = before.is_some_and(|it| it < era);
            if is_changed {
                let before = before.unwrap_or_default();
                log_event!(LogEvent::StoreEraChanged, "era={era} before={before}");
                self.quota.request_table_read();
            }
            is_changed
        });
    }

    /// Tells the linked nodes when the routes were last confirmed.
    pub(super) fn announce_confirmation(self: &Arc<MeshShared>) {
        let confirmation = {
            // Both under one lock: a confirmation is of the routes that were in force by then.
            let mut state = self.lock();
            let version = state.routes.as_ref().map_or(0, |it| it.table.version);
            let age = state.route_freshness.announce(self.clock.now());
            RouteConfirmation {
                version,
                age,
                store_era: self.store_era.borrow().unwrap_or_default(),
            }
        };
        for node in self.linked_nodes().into_iter().filter(|it| self.reads_confirmations(*it)) {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.send_confirmation(node, confirmation).await });
        }
    }

    async fn send_confirmation(self: Arc<MeshShared>, to: NodeId, confirmation: RouteConfirmation) {
        let req = MeshRequest::ConfirmRoutes(confirmation);
        if let Some(MeshReply::RoutesVersion { node, version }) = self.call_peer(to.addr, req).await
        {
            self.fetch_routes_if_newer(node, version, Duration::ZERO);
        }
    }

    /// Handles the confirmation of another node. It says nothing about the routes of this node if those
    /// are older.
    pub(super) fn on_routes_confirmed(
        self: &Arc<MeshShared>,
        from: NodeId,
        confirmation: RouteConfirmation,
    ) -> MeshReply {
        self.observe_store_era(confirmation.store_era);
        let version = self.route_version();
        if confirmation.version > version {
            self.fetch_routes_if_newer(from, confirmation.version, Duration::ZERO);
        } else {
            self.confirm_routes(self.clock.now().saturating_sub(confirmation.age));
        }
        MeshReply::RoutesVersion { node: self.me, version }
    }
}
