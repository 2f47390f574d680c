use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, Membership};
use pollenlever_core::mesh::{MeshReply, MeshRequest, RouteConfirmation};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// What nodes know of how new their routes are. A node that reads the store confirms its routes; every
/// node passes the latest confirmation on to the nodes of its region that its gossip links lead to.
/// Between regions a confirmation passes only if one of them lacks it.
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

    /// Tells the linked nodes of this region when the routes were last confirmed.
    pub(super) fn announce_confirmation(self: &Arc<MeshShared>) {
        self.lock().route_freshness.announce();
        for node in self.linked_nodes_where(|it| it.region == self.region) {
            self.spawn_confirmation(node);
        }
    }

    /// Asks the linked nodes of other regions for their confirmation, by telling them this node's own,
    /// unless a confirmation has come meanwhile.
    pub(super) fn ask_for_confirmation(self: &Arc<MeshShared>) {
        if !self.time_to_ask().is_zero() {
            return;
        }
        self.lock().route_freshness.record_asked(self.clock.now());
        for node in self.linked_nodes_where(|it| it.region != self.region) {
            self.spawn_confirmation(node);
        }
    }

    /// Time until other regions should be asked.
    pub(super) fn time_to_ask(&self) -> Duration {
        self.lock().route_freshness.asks_at().saturating_sub(self.clock.now())
    }

    fn linked_nodes_where(&self, is_wanted: impl Fn(&Member) -> bool) -> Vec<NodeId> {
        let linked = self.linked_nodes();
        self.members.read(|it| {
            let members = it.table().live().filter(|it| linked.contains(&it.node) && is_wanted(it));
            members.map(|it| it.node).collect()
        })
    }

    /// What this node knows of how new its routes are.
    fn confirmation(&self) -> RouteConfirmation {
        // Both under one lock: a confirmation is of the routes that were in force by then.
        let state = self.lock();
        RouteConfirmation {
            version: state.routes.as_ref().map_or(0, |it| it.table.version),
            age: state.route_freshness.age(self.clock.now()),
            store_era: self.store_era.borrow().unwrap_or_default(),
        }
    }

    fn spawn_confirmation(self: &Arc<MeshShared>, to: NodeId) {
        if self.reads_confirmations(to) {
            let (shared, confirmation) = (Arc::clone(self), self.confirmation());
            tokio::spawn(async move { shared.send_confirmation(to, confirmation).await });
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
    /// are older. A node of another region that knows less is told.
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
            self.answer_confirmation(from, confirmation.age);
        }
        MeshReply::RoutesVersion { node: self.me, version }
    }

    fn answer_confirmation(self: &Arc<MeshShared>, from: NodeId, age: Duration) {
        let is_in_other_region = |it: &Membership| {
            it.table().get(from.addr).is_some_and(|it| it.member.region != self.region)
        };
        let is_news = self.lock().route_freshness.answers(self.clock.now(), age);
        if is_news && self.members.read(is_in_other_region) {
            self.spawn_confirmation(from);
        }
    }
}
