use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded};
use pollenlever_core::id::NodeId;
use pollenlever_core::policy::Event;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};

use super::policy::policy;
use super::threads::{runtime, spawn};
use super::{Clock, Decision, NodeError, OpenWork, Waiters};
use crate::control::{BoxControl, Control};
use crate::entry::{EntryServer, EntryState, HangupWatch};
use crate::gate::{TargetClient, TargetWatch, run_gate};
use crate::peer::{PeerClient, PeerOptions, PeerServer, run_exchanges};
use crate::ring::{Ring, ring};
use crate::settings::Settings;
use crate::telemetry::NodeTelemetry;

/// Threads that serve callers.
const ENTRY_WORKERS: usize = 1;
/// Threads that serve peers.
const PEER_WORKERS: usize = 1;
/// Threads that talk to the target.
const TARGET_WORKERS: usize = 1;
/// Bytes by which a body between nodes may be over the limit for callers, for records that are
/// handed over.
const PEER_BODY_MARGIN_BYTES: usize = 1 << 20;
/// Wait for the kernel to take the last answers once they are written.
const WRITE_GRACE: Duration = Duration::from_millis(200);

/// A running node.
pub struct Node {
    me: NodeId,
    drain_timeout: Duration,
    events: Ring<Event>,
    control: BoxControl,
    left: Receiver<()>,
    open_work: OpenWork,
    shutdown: rocket::Shutdown,
    entry: JoinHandle<()>,
    entry_addr: SocketAddr,
    entry_failed: watch::Receiver<Option<String>>,
    runtimes: Vec<Runtime>,
}

impl Node {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if a thread cannot start or an address cannot be bound.
    pub fn start(cfg: &Settings) -> Result<Node, NodeError> {
        let me = NodeId { addr: cfg.peer_address(), incarnation: draw_incarnation() };
        let (events, events_rx) = ring(cfg.ring_capacity);
        let (peers, peers_rx) = mpsc::channel(cfg.ring_capacity);
        let (gate, gate_rx) = mpsc::channel(cfg.ring_capacity);
        let (left_tx, left) = bounded(1);
        let calls = Arc::new(Waiters::default());
        let streams = Arc::new(Waiters::default());
        let open_work = OpenWork::default();
        let telemetry = Arc::new(NodeTelemetry::new(&cfg.region, &cfg.zone, me));

        let peer_runtime = runtime("peer", PEER_WORKERS)?;
        let options = peer_options(cfg);
        let client = PeerClient::new(me, options, peer_runtime.handle().clone());
        let sender = Arc::new(client.clone());
        let control = Control::spawn(cfg, me, sender, events.clone())?;
        let listener = peer_runtime.block_on(tokio::net::TcpListener::bind(cfg.peer));
        let listener = listener.map_err(|source| NodeError::Bind { addr: cfg.peer, source })?;
        let server = PeerServer {
            me,
            max_body_bytes: options.max_body_bytes,
            open_work: open_work.clone(),
            events: events.clone(),
            streams: Arc::clone(&streams),
            control: Arc::clone(&control),
        };
        peer_runtime.spawn(Arc::new(server).serve(listener));
        peer_runtime.spawn(run_exchanges(peers_rx, client, events.clone()));

        let target_runtime = runtime("target", TARGET_WORKERS)?;
        let target_client = TargetClient::new(cfg.target, cfg.max_body_bytes)?;
        target_runtime.spawn(run_gate(gate_rx, target_client, events.clone()));
        let watch = TargetWatch::new(cfg.target, events.clone(), Arc::clone(&control));
        let watch = Arc::new(watch);
        let watching = Arc::clone(&watch);
        target_runtime.spawn(async move { watching.watch().await });

        let decision = Decision {
            me,
            policy: policy(cfg, me),
            clock: Clock::default(),
            events: events_rx,
            calls: Arc::clone(&calls),
            streams,
            peers,
            gate,
            telemetry: telemetry.clone(),
            left: left_tx,
            exchanges: Default::default(),
            runs: Default::default(),
            local: Default::default(),
        };
        spawn("decision", move || decision.run())?;

        let state = EntryState {
            events: events.clone(),
            calls,
            control: Arc::clone(&control),
            telemetry,
            target: watch,
            hangups: HangupWatch::new(cfg.entry),
            open_work: open_work.clone(),
            max_body_bytes: cfg.max_body_bytes,
            max_header_bytes: cfg.max_header_bytes,
        };
        let entry_runtime = runtime("entry", ENTRY_WORKERS)?;
        let state = Arc::new(state);
        let watching = Arc::clone(&state);
        entry_runtime.spawn(async move { watching.watch_hangups().await });
        let server = EntryServer::new(cfg.entry, ENTRY_WORKERS, state);
        let server = entry_runtime.block_on(server);
        let server = server.map_err(|err| entry_error(cfg, &err))?;
        let shutdown = server.shutdown();
        let (failed_tx, entry_failed) = watch::channel(None);
        let handle = entry_runtime.handle().clone();
        let entry = spawn("entry", move || {
            if let Err(err) = handle.block_on(server.serve()) {
                let _ = failed_tx.send(Some(err.to_string()));
            }
        })?;
        let runtimes = vec![entry_runtime, peer_runtime, target_runtime];
        log::info!("node started node={me} entry={} policy={:?}", cfg.entry, cfg.policy);
        let drain_timeout = cfg.drain_timeout;
        Ok(Node {
            me,
            drain_timeout,
            events,
            control,
            left,
            open_work,
            shutdown,
            entry,
            entry_addr: cfg.entry,
            entry_failed,
            runtimes,
        })
    }

    /// The node.
    pub fn id(&self) -> NodeId {
        self.me
    }

    /// Resolves if the HTTP server fails, which it may do only at its start.
    pub async fn entry_failure(&self) -> NodeError {
        let mut failed = self.entry_failed.clone();
        let addr = self.entry_addr;
        match failed.wait_for(Option::is_some).await {
            Ok(reason) => NodeError::Entry { addr, reason: reason.clone().unwrap_or_default() },
            Err(_) => NodeError::Entry { addr, reason: "its thread ended".to_owned() },
        }
    }

    /// Refuses new work, waits for what is in flight and stops the threads. Returns whether
    /// everything in flight ended in time.
    pub fn leave(self) -> bool {
        let started = Instant::now();
        log::info!("node is leaving node={}", self.me);
        let _ = self.events.push_wait(Event::Leave);
        self.control.leave();
        let all_ended = self.left.recv_timeout(self.drain_timeout).is_ok();
        self.open_work.wait_idle(self.drain_timeout.saturating_sub(started.elapsed()));
        std::thread::sleep(WRITE_GRACE);
        self.shutdown.notify();
        let _ = self.entry.join();
        for runtime in self.runtimes {
            runtime.shutdown_background();
        }
        let waited_ms = started.elapsed().as_millis();
        log::info!("node left node={} all_ended={all_ended} waited_ms={waited_ms}", self.me);
        all_ended
    }
}

fn entry_error(cfg: &Settings, err: &rocket::Error) -> NodeError {
    NodeError::Entry { addr: cfg.entry, reason: err.to_string() }
}

/// Draws the number of this start; 0 stands for any.
fn draw_incarnation() -> u64 {
    loop {
        let drawn: u64 = rand::random();
        if drawn != pollenlever_core::id::ANY_INCARNATION {
            return drawn;
        }
    }
}

fn peer_options(cfg: &Settings) -> PeerOptions {
    let local_ip = Some(cfg.peer.ip()).filter(|it| !it.is_unspecified());
    PeerOptions { local_ip, max_body_bytes: cfg.max_body_bytes + PEER_BODY_MARGIN_BYTES }
}
