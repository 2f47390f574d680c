use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use tokio::net::TcpListener;
use tokio::runtime::Handle;

use super::control_server::serve_control;
use super::departure_store::{DepartureStore, delete_orphaned_departures};
use super::edge_server::EdgeServer;
use super::log_event::{LogEvent, log_event};
use super::member_changes::MemberChanges;
use super::mesh_handler::MeshHandler;
use super::mesh_metrics::MetricsHandler;
use super::route_watch::RouteWatch;
use super::{MeshShared, SharedMeshPlatform};
use crate::bounds::ProcessBounds;
use crate::gossip::{GossipDriver, SeedPublisher};
use crate::node::NodeStartError;
use crate::peer::{PeerClient, PeerOptions, PeerServer};
use crate::quota::{Delegator, ShareKeeper, SharedQuotaNode};
use crate::settings::MeshSettings;

/// Kind of the store objects that list nodes through which new nodes join.
const SEEDS_KIND: &str = "pollenlever-seeds";
/// Time for which a leaving node still accepts requests, so that its callers can notice that it is
/// no longer ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2600);
/// Longest time for which a leaving node without requests waits until its units of quotas are handed
/// back. If they are not, its next process has them.
const MAX_HAND_BACK_TIME: Duration = Duration::from_secs(4);
/// Time before the end of the grace period at which a leaving node abandons its last requests.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for writing the answers to abandoned requests.
const ABANDON_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether requests are still open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest body of a message between nodes, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Number of random low bits of an incarnation; the start time is above them.
const RANDOM_BITS: u32 = 16;

/// A running node of a mesh: the process that routes, admits and retries the requests of its VM.
pub struct MeshNode {
    shared: Arc<MeshShared>,
}

impl MeshNode {
    /// Binds the listening addresses and starts serving on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// [`NodeStartError`] if an address cannot be bound.
    pub async fn start(
        cfg: &MeshSettings,
        platform: SharedMeshPlatform,
    ) -> Result<MeshNode, NodeStartError> {
        let addr = cfg.advertise.unwrap_or(cfg.peer);
        let me = NodeId { addr, incarnation: new_incarnation() };
        let own = Member {
            version: unix_time_ms(),
            entry: cfg.callers_address,
            region: cfg.region.as_str().into(),
            zone: cfg.zone.as_str().into(),
            ..Member::new(me)
        };
        let options = PeerOptions { local_ip: Some(cfg.peer.ip()), max_body_bytes: MAX_BODY_BYTES };
        let peers = PeerClient::new(me, options, Handle::current());
        let limits = cfg.process_limits().or(platform.process_limits());
        let bounds = ProcessBounds::of_process(limits);
        let shared = Arc::new(MeshShared::new(cfg, own, platform.headers(), peers, bounds));
        let peer_server = PeerServer {
            local_node: me,
            max_body_bytes: MAX_BODY_BYTES,
            memory: shared.memory.clone(),
            connections: shared.limiter("peers", shared.bounds.peers()),
            in_flight_work: shared.in_flight_work.clone(),
            versions: Arc::clone(shared.peers.versions()),
            handler: Arc::new(MeshHandler { shared: Arc::clone(&shared) }),
        };
        tokio::spawn(Arc::new(peer_server).serve(bind(cfg.peer).await?));
        let control = platform.control(Arc::clone(&shared));
        let addresses = [("ready", cfg.readiness_address), ("control", cfg.control_address)];
        for (name, addr) in addresses {
            let connections = shared.limiter(name, shared.bounds.control());
            tokio::spawn(serve_control(bind(addr).await?, Arc::clone(&control), connections));
        }
        if let Some(addr) = cfg.metrics_address {
            let handler = MetricsHandler::handler(Arc::clone(&shared));
            let connections = shared.limiter("metrics", shared.bounds.control());
            tokio::spawn(serve_control(bind(addr).await?, handler, connections));
        }
        let edge = Arc::new(EdgeServer { shared: Arc::clone(&shared) });
        tokio::spawn(edge.serve(bind(cfg.callers_address).await?));
        spawn_control(&shared, platform);
        log_event!(
            LogEvent::NodeStarted,
            "node={me} name={} zone={} service={}",
            cfg.name,
            cfg.zone,
            cfg.service
        );
        Ok(MeshNode { shared })
    }

    /// State that the parts of the node share.
    pub fn shared(&self) -> &Arc<MeshShared> {
        &self.shared
    }

    /// Applies changed settings. Changes of addresses and of the store take effect only after a
    /// restart.
    pub fn reload(&self, cfg: MeshSettings) {
        let before = self.shared.settings();
        if before == cfg {
            return;
        }
        let needs_restart = (before.callers_address, before.peer, before.target, before.store)
            != (cfg.callers_address, cfg.peer, cfg.target, cfg.store);
        log_event!(
            LogEvent::SettingsReloaded,
            "service={} needs_restart={needs_restart}",
            cfg.service
        );
        self.shared.apply_settings(cfg);
    }

    /// Leaves the mesh: turns callers and nodes away and finishes open requests. Those that are open
    /// at the end of the grace period are answered with an error. Returns whether there were none.
    pub async fn leave(&self) -> bool {
        let started = self.shared.clock.now();
        let grace = self.shared.settings().stop_grace_period;
        log_event!(LogEvent::NodeLeaving, "grace_ms={}", grace.as_millis());
        self.shared.start_leaving(started + grace.saturating_sub(EXIT_MARGIN));
        tokio::time::sleep(DRAIN_DELAY.min(grace / 2)).await;
        self.shared.stop();
        loop {
            let is_idle = self.shared.is_idle();
            let elapsed = self.shared.clock.now().saturating_sub(started);
            let is_handed_back =
                self.shared.quota.is_handed_back() || elapsed >= MAX_HAND_BACK_TIME;
            if (is_idle && is_handed_back) || elapsed + EXIT_MARGIN >= grace {
                let (requests, connections) =
                    (self.shared.in_flight_work.count(), self.shared.open_connection_count());
                log_event!(
                    LogEvent::NodeStopped,
                    "idle={is_idle} after_ms={} open_requests={requests} open_connections={connections}",
                    elapsed.as_millis()
                );
                if requests > 0 {
                    self.shared.abandon_requests();
                    tokio::time::sleep(ABANDON_TIME).await;
                }
                return is_idle;
            }
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}

/// Starts the exchange of members and routes with other nodes and with the store.
fn spawn_control(shared: &Arc<MeshShared>, platform: SharedMeshPlatform) {
    let driver = GossipDriver {
        members: Arc::clone(&shared.members),
        sender: Arc::new(shared.peers.clone()),
        sink: MemberChanges { shared: Arc::clone(shared) },
    };
    let seeds = SeedPublisher {
        members: Arc::clone(&shared.members),
        store: platform.store(),
        kind: SEEDS_KIND,
    };
    let departures = DepartureStore::new(Arc::clone(shared), platform.store());
    tokio::spawn(driver.run());
    tokio::spawn(seeds.run());
    tokio::spawn(departures.run());
    tokio::spawn(Arc::clone(shared).recall_own_departures());
    tokio::spawn(delete_orphaned_departures(Arc::clone(shared), platform.store()));
    tokio::spawn(Arc::clone(&shared.gate).serve_queue());
    let gate = Arc::clone(&shared.gate);
    tokio::spawn(async move { gate.client.pool().close_expired_connections().await });
    tokio::spawn(Arc::clone(shared).announce_departures());
    tokio::spawn(Arc::clone(shared).keep_departures_elsewhere());
    tokio::spawn(Arc::clone(shared).spread_routes());
    tokio::spawn(Arc::clone(shared).broadcast_suspicions());
    tokio::spawn(Arc::clone(shared).watch_member_versions());
    tokio::spawn(Delegator::new(Arc::clone(shared) as SharedQuotaNode).run());
    let share_keeper = ShareKeeper::new(Arc::clone(shared) as SharedQuotaNode, platform.store());
    tokio::spawn(share_keeper.run());
    tokio::spawn(RouteWatch::new(Arc::clone(shared), platform).run());
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, NodeStartError> {
    TcpListener::bind(addr).await.map_err(|source| NodeStartError::Bind { addr, source })
}

/// Creates the incarnation, the number that identifies this start of the node. It grows from start
/// to start, so that others know which of two processes at one address is the later one.
fn new_incarnation() -> u64 {
    let random = u64::from(rand::random::<u16>());
    (unix_time_ms() << RANDOM_BITS) | random
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
