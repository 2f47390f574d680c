use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use pollenlever_core::id::{NodeId, RegionName, ServiceName};
use pollenlever_core::membership::{Member, Membership, MembershipSettings};
use pollenlever_core::memory::ConnectionLimits;
use pollenlever_core::mesh::{
    CallClassifier, RememberedStatements, RouteFreshness, WATCHERS_PER_REGION, WeightedSplit,
};
use pollenlever_core::routing::{RoutingSettings, TwoChoices};
use tokio::sync::{Notify, watch};

use super::HeaderNames;
use super::departure_records::DepartureRecords;
use super::downstream::Downstream;
use super::gate::Gate;
use super::mesh_metrics::MeshMetrics;
use super::own_departures::OwnDepartures;
use super::request_log::RequestLog;
use super::routes_in_force::RoutesInForce;
use super::stop_phase::StopPhase;
use crate::bounds::{ConnectionLimiter, MessageMemory, ProcessBounds};
use crate::gossip::{SharedMachine, SharedMembership};
use crate::node::{Clock, InFlightCounter};
use crate::peer::PeerClient;
use crate::quota::Quota;
use crate::settings::MeshSettings;

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
    /// What this process has heard of departures that earlier ones confirmed.
    pub(super) own_departures: OwnDepartures,
    pub(super) is_fetching_routes: AtomicBool,
    /// Whether routes of a newer version are in the store, and no node can send them to this one.
    pub(super) is_routes_read_due: AtomicBool,
    /// Whether this node watches the routes in the store.
    pub(super) watches_routes: AtomicBool,
    /// Era of the store; `None` until an answer of it or another node has told.
    pub(super) store_era: watch::Sender<Option<u64>>,
    pub(super) stop_phase: watch::Sender<StopPhase>,
    /// When a leaving node abandons its open requests, on its clock.
    pub(super) abandons_at: OnceLock<Duration>,
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
            own_departures: OwnDepartures::new(clock.now()),
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

    /// Returns a number that this process has not used before.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
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

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
