use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{ChainId, NodeId, ServiceName, WorkspaceName};
use pollenlever_core::mesh::{
    ClientLimits, HttpRoute, Lineage, RouteTable, RouteVersion, WeightedSplit,
};
use pollenlever_core::routing::{NoRoute, RouteRequest, Routing};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};
use super::request_sender::RequestSender;
use super::routes_in_force::RoutesInForce;

/// Time over which the load share of a new target grows to its full value.
const RAMP_UP: Duration = Duration::from_secs(3);

/// The routes in force, and what they say about a request.
impl MeshShared {
    /// The routes in force.
    pub(super) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.lock().routes.as_ref().map(|it| Arc::clone(&it.table))
    }

    /// The routes in force with the directory of their workspaces.
    pub(super) fn routes_in_force(&self) -> Option<RoutesInForce> {
        self.lock().routes.clone()
    }

    /// Version of the routes in force; 0 if there are none.
    pub fn route_version(&self) -> RouteVersion {
        self.lock().routes.as_ref().map_or(0, |it| it.table.version)
    }

    /// Time since the routes in force were applied.
    pub(super) fn routes_age(&self) -> Duration {
        self.clock.now().saturating_sub(self.lock().routes_since)
    }

    /// Applies routes, unless the ones in force have the same or a later version. Returns `false` if
    /// they cannot be used.
    pub(super) fn apply_routes(&self, table: RouteTable, source: &str) -> bool {
        let mut state = self.lock();
        let known = state.routes.as_ref().map_or(0, |it| it.table.version);
        if table.version <= known && state.routes.is_some() {
            return true;
        }
        let routes = match RoutesInForce::new(table) {
            Ok(routes) => routes,
            Err(err) => {
                let reason = err.to_string();
                log_event!(LogEvent::RoutesRefused, "source={source} reason={reason:?}");
                return false;
            }
        };
        let table = &routes.table;
        log_event!(
            LogEvent::RoutesInForce,
            "version={} before={known} source={source}",
            table.version
        );
        state.routes_since = self.clock.now();
        let own_service: ServiceName = state.settings.service.as_str().into();
        let max_connections = table.service(&own_service).map_or(0, |it| it.max_connections);
        self.gate.set_max_connections(max_connections);
        for service in &table.services {
            let cfg = ServiceConfig {
                service: service.service.clone(),
                version: table.version,
                ramp_up: RAMP_UP,
                ..ServiceConfig::default()
            };
            state.routing.configure(Arc::new(cfg));
        }
        let is_kept = |name: &Arc<str>, split: &mut WeightedSplit| {
            let route = table.routes.iter().find(|it| it.name == *name);
            route.is_some_and(|it| split.has_services(&it.services))
        };
        state.splits.retain(is_kept);
        state.call_classifier.retain(|name| table.routes.iter().any(|it| it.name == *name));
        self.quota.set_workspaces(&table.workspaces);
        state.routes = Some(routes);
        drop(state);
        self.routes_changed.notify_one();
        true
    }

    /// Limits for connections of callers.
    pub(super) fn client_limits(&self) -> ClientLimits {
        self.lock().routes.as_ref().map_or_else(ClientLimits::default, |it| it.table.limits)
    }

    /// Chooses the service that runs the next request of a route.
    pub(super) fn choose_service(&self, route: &HttpRoute) -> Option<ServiceName> {
        if let [only] = &route.services[..] {
            return Some(only.service.clone());
        }
        let mut state = self.lock();
        let split = state.splits.entry(route.name.clone());
        let phase = || rand::random_range(0.0..1.0);
        split.or_insert_with(|| WeightedSplit::new(&route.services, phase())).choose()
    }

    /// Position of a request in its call chain, and the workspace on whose behalf the chain runs. A
    /// call whose id does not identify its run may be recognized by its `deadline`; it then gets the
    /// importance of its route.
    pub(super) fn lineage(
        &self,
        id: &str,
        route: &HttpRoute,
        deadline: Duration,
        sender: &RequestSender,
    ) -> (Lineage, Option<WorkspaceName>) {
        let chain = ChainId { origin: self.me, seq: self.next_id() };
        if let RequestSender::Caller(workspace) = sender {
            let importance = route.importance_for(workspace);
            return (Lineage::root(chain, importance), Some(workspace.name.clone()));
        }
        if let Some(call) = self.gate.lineage_of_call(id) {
            return call;
        }
        let last_run = self.gate.last_run_deadline();
        let is_call = self.lock().call_classifier.is_call(&route.name, deadline, last_run);
        let root = Lineage::root(chain, route.importance());
        if is_call {
            (Lineage { repeat: self.gate.mean_repeat_probability(), ..root.child() }, None)
        } else {
            (root, None)
        }
    }

    pub(super) fn choose_gate(&self, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute> {
        let now = self.clock.now();
        self.lock().routing.choose(now, req)
    }
}
