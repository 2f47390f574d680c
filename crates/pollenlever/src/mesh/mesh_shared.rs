use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{ChainId, NodeId, RegionName, ServiceName, WorkspaceName};
use pollenlever_core::membership::{Member, Membership, MembershipEvent, MembershipSettings};
use pollenlever_core::memory::ConnectionLimits;
use pollenlever_core::mesh::{
    CallClassifier, ClientLimits, HttpRoute, Lineage, RememberedStatements, RouteFreshness,
    RouteTable, RouteVersion, WATCHERS_PER_REGION, WeightedSplit,
};
use pollenlever_core::routing::{NoRoute, RouteRequest, Routing, RoutingSettings, TwoChoices};
use tokio::sync::{Notify, watch};

use super::HeaderNames;
use super::departure_records::DepartureRecords;
use super::downstream::Downstream;
use super::gate::Gate;
use super::log_event::{LogEvent, log_event};
use super::mesh_metrics::MeshMetrics;
use super::request_log::RequestLog;
use super::request_sender::RequestSender;
use super::routes_in_force::RoutesInForce;
use super::stop_phase::StopPhase;
use crate::bounds::{ConnectionLimiter, MessageMemory, ProcessBounds};
use crate::gossip::{SharedMachine, SharedMembership};
use crate::node::{Clock, InFlightCounter};
use crate::peer::PeerClient;
use crate::quota::Quota;
use crate::settings::MeshSettings;

/// Time over which the load share of a new target grows to its full value.
const RAMP_UP: Duration = Duration::from_secs(3);
/// Time for which changes of members are collected before they are pushed together. It is short, as
/// requests to a target that leaves are refused until its departure is known.
const GOSSIP_PUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Seed for choosing the watchers.
pub(super) const WATCHER_SEED: u64 = 0x7761_7463_6865;
/// Time after the start during which a node does not watch the store, because it does not know
/// enough members yet to tell whether it is one of the watchers.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// State that the parts of a mesh node share.
pub struct MeshShared {
    /// Address and incarnation of this node.
    pub(super) me: NodeId,
    /// Region of this node.
    pub(super) region: RegionName,
    /// Names of the headers that the node reads and sets.
    pub(super) names: HeaderNames,
    /// Clock that all times of this node refer to.
    pub(super) clock: Clock,
    /// Admission of requests to the target beside this node.
    pub(super) gate: Arc<Gate>,
    /// Retry budget and outlook of the services to which this node sends requests.
    pub(super) downstream: Arc<Downstream>,
    pub(super) peers: PeerClient,
    /// Counts requests that are not answered yet.
    pub(super) in_flight_work: InFlightCounter,
    /// Memory for the bodies of requests and answers.
    pub(super) memory: MessageMemory,
    /// Limits the connections of callers.
    pub(super) callers: ConnectionLimiter,
    /// What the process may take in all.
    pub(super) bounds: ProcessBounds,
    /// Counts open connections of callers.
    pub(super) open_connections: InFlightCounter,
    /// Limits log lines about single requests.
    pub(super) request_log: RequestLog,
    pub(super) metrics: MeshMetrics,
    /// Quotas of the workspaces.
    pub(super) quota: Arc<Quota>,
    /// The other nodes, as gossip tells.
    pub(super) members: SharedMembership,
    /// Where departures of targets are known.
    pub(super) departures: DepartureRecords,
    /// Signalled when the target has left or another one is in use.
    pub(super) departure_changed: Notify,
    /// Signalled when other routes are in force.
    pub(super) routes_changed: Notify,
    /// Signalled when the routes were confirmed and other nodes should hear of it.
    pub(super) routes_confirmed: Notify,
    state: Mutex<State>,
    /// What targets stated in the answers that this node passed on.
    pub(super) remembered_statements: Mutex<RememberedStatements>,
    last_id: AtomicU64,
    target_state_restored: AtomicBool,
    pub(super) is_fetching_routes: AtomicBool,
    /// Whether routes of a newer version are in the store, and no node can send them to this one.
    pub(super) is_routes_read_due: AtomicBool,
    /// Whether this node watches the routes in the store.
    pub(super) watches_routes: AtomicBool,
    /// Era of the store; `None` until an answer of it or another node has told.
    pub(super) store_era: watch::Sender<Option<u64>>,
    stop_phase: watch::Sender<StopPhase>,
    /// When a leaving node abandons its open requests, on its clock.
    abandons_at: OnceLock<Duration>,
}

pub(super) struct State {
    pub(super) settings: MeshSettings,
    pub(super) routes: Option<RoutesInForce>,
    /// When the routes came into force, on the node's clock.
    pub(super) routes_since: Duration,
    /// When the routes were last known to be the newest ones.
    pub(super) route_freshness: RouteFreshness,
    pub(super) splits: HashMap<Arc<str>, WeightedSplit>,
    pub(super) routing: TwoChoices,
    /// Members that do not answer and are probed.
    pub(super) lost: BTreeMap<SocketAddr, NodeId>,
    pub(super) call_classifier: CallClassifier,
}

impl MeshShared {
    pub(super) fn new(
        cfg: &MeshSettings,
        own: Member,
        names: HeaderNames,
        peers: PeerClient,
        bounds: ProcessBounds,
    ) -> MeshShared {
        let clock = Clock::default();
        let metrics = MeshMetrics::new();
        let (me, region) = (own.node, own.region.clone());
        let routing = TwoChoices::new(
            me,
            own.region.clone(),
            own.zone.clone(),
            RoutingSettings { seed: me.incarnation, ..RoutingSettings::default() },
        );
        let downstream = Arc::new(Downstream::new(clock, cfg.retry_budget));
        let state = State {
            settings: cfg.clone(),
            routes: None,
            routes_since: Duration::ZERO,
            route_freshness: RouteFreshness::default(),
            splits: HashMap::new(),
            routing,
            lost: BTreeMap::new(),
            call_classifier: CallClassifier::default(),
        };
        let membership = MembershipSettings {
            push_interval: GOSSIP_PUSH_INTERVAL,
            ..MembershipSettings::default()
        };
        let membership = Membership::new(membership, own, me.incarnation);
        let callers =
            ConnectionLimiter::with_metrics("callers", bounds.callers(), metrics.bounds.clone());
        let memory = MessageMemory::with_callers(
            bounds.memory(),
            Some(callers.clone()),
            metrics.bounds.clone(),
        );
        let peers = peers.with_memory(memory.clone());
        let gate = Gate::new(
            cfg.target,
            names.clone(),
            clock,
            metrics.clone(),
            Arc::clone(&downstream),
            memory.clone(),
        );
        let quota = Quota::new(me, clock, peers.clone(), metrics.quota.clone());
        gate.set_start_pace(cfg.has_start_pace);
        MeshShared {
            me,
            region,
            quota: Arc::new(quota),
            gate: Arc::new(gate),
            downstream,
            names,
            clock,
            peers,
            in_flight_work: InFlightCounter::default(),
            memory,
            callers,
            bounds,
            open_connections: InFlightCounter::default(),
            request_log: RequestLog::default(),
            metrics,
            members: Arc::new(SharedMachine::new(membership)),
            departures: DepartureRecords::default(),
            departure_changed: Notify::new(),
            routes_changed: Notify::new(),
            routes_confirmed: Notify::new(),
            state: Mutex::new(state),
            remembered_statements: Mutex::default(),
            last_id: AtomicU64::new(0),
            target_state_restored: AtomicBool::new(false),
            is_fetching_routes: AtomicBool::new(false),
            is_routes_read_due: AtomicBool::new(false),
            watches_routes: AtomicBool::new(false),
            store_era: watch::channel(None).0,
            stop_phase: watch::channel(StopPhase::default()).0,
            abandons_at: OnceLock::new(),
        }
    }

    /// Whether callers may send new requests: routes and other nodes are known and the node is not
    /// leaving. A node that finds no other one becomes ready after a moment.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.lock().routes.is_some() && self.has_joined()
    }

    fn has_joined(&self) -> bool {
        self.clock.now() >= SETTLE_TIME || self.members.read(Membership::has_joined)
    }

    /// Whether this node is one of those that watch the store for all nodes of their region.
    pub(super) fn is_store_watcher(&self) -> bool {
        self.clock.now() >= SETTLE_TIME
            && self.members.read(|it| it.is_chosen_in_region(WATCHER_SEED, WATCHERS_PER_REGION))
    }

    /// Whether the node has restored what its target reported to an earlier process of the node, or
    /// has stopped waiting for it.
    pub fn is_target_state_restored(&self) -> bool {
        self.target_state_restored.load(Ordering::Relaxed)
    }

    pub(super) fn mark_target_state_restored(&self) {
        self.target_state_restored.store(true, Ordering::Relaxed);
    }

    /// This node as the other nodes know it.
    pub fn member(&self) -> Member {
        self.members.read(|it| it.me().clone())
    }

    /// Service that the target beside this node runs.
    pub(super) fn own_service(&self) -> ServiceName {
        self.lock().settings.service.as_str().into()
    }

    pub(super) fn settings(&self) -> MeshSettings {
        self.lock().settings.clone()
    }

    /// Applies changed settings, as far as a running node can.
    pub(super) fn apply_settings(&self, cfg: MeshSettings) {
        self.downstream.configure(cfg.retry_budget);
        self.gate.set_start_pace(cfg.has_start_pace);
        self.lock().settings = cfg;
    }

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

    /// Returns a number that this process has not used before.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn is_leaving(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Leaving
    }

    /// Refuses requests of other nodes from now on; the node is no longer ready for callers. Requests
    /// that are open at `abandons_at` will be abandoned.
    pub(super) fn start_leaving(&self, abandons_at: Duration) {
        self.abandons_at.get_or_init(|| abandons_at);
        self.stop_phase.send_replace(StopPhase::Leaving);
        self.gate.close();
        self.members.notify(MembershipEvent::Leave);
        self.quota.start_leaving();
    }

    /// Latest deadline that a request can be given: none that it could outlive this node with.
    pub(super) fn latest_deadline(&self) -> Duration {
        self.abandons_at.get().copied().unwrap_or(Duration::MAX)
    }

    /// Refuses new requests of callers from now on.
    pub(super) fn stop(&self) {
        self.stop_phase.send_replace(StopPhase::Stopped);
    }

    /// Answers open requests of callers with an error.
    pub(super) fn abandon_requests(&self) {
        self.stop_phase.send_replace(StopPhase::Abandoning);
    }

    pub(super) fn is_stopped(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Stopped
    }

    /// Creates the limiter of the connections of a listening address.
    pub(super) fn limiter(
        &self,
        address: &'static str,
        limits: ConnectionLimits,
    ) -> ConnectionLimiter {
        ConnectionLimiter::with_metrics(address, limits, self.metrics.bounds.clone())
    }

    /// Number of open connections of callers.
    pub fn open_connection_count(&self) -> usize {
        self.open_connections.count()
    }

    /// Number of requests that this node's gate refuses because they crash targets.
    pub fn blocked_request_count(&self) -> usize {
        self.gate.blocked_request_count()
    }

    /// Whether no request is open, of a caller or at the gate, and no connection of a caller.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight_work.is_idle() && self.open_connections.is_idle()
    }

    /// How far the node is with its stop, with notice of changes.
    pub(super) fn subscribe_stop_phase(&self) -> watch::Receiver<StopPhase> {
        self.stop_phase.subscribe()
    }

    /// Resolves once the node's stop has come to `phase`.
    pub(super) async fn wait_for_stop_phase(&self, phase: StopPhase) {
        let mut present = self.subscribe_stop_phase();
        // The sender lives as long as this node, so waiting cannot fail.
        let _ = present.wait_for(|it| *it >= phase).await;
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
