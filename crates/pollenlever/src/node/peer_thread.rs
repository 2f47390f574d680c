use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::network_thread::NetworkThread;
use super::shared_state::SharedState;
use super::{NodeStartError, PeerRequestHandler};
use crate::bounds::ConnectionLimiter;
use crate::control::{Control, SharedControl};
use crate::peer::{PeerClient, PeerCommand, PeerOptions, PeerServer, run_exchanges};
use crate::settings::Settings;

/// Bytes that a body between nodes may have beyond the limit for bodies of callers, as room for
/// records that one node hands over to another.
const HANDOVER_MARGIN_BYTES: usize = 1 << 20;

/// The thread that serves and sends requests between nodes.
pub(super) struct PeerThread {
    /// Channel to the thread.
    pub(super) commands: mpsc::Sender<PeerCommand>,
    /// Membership and configurations; their messages to other nodes go through this thread.
    pub(super) control: SharedControl,
    _thread: NetworkThread,
}

impl PeerThread {
    /// Binds the peer address and starts to serve.
    pub(super) fn start(
        cfg: &Settings,
        shared: &SharedState,
    ) -> Result<PeerThread, NodeStartError> {
        let thread = NetworkThread::start("peer")?;
        let options = peer_options(cfg);
        let client = PeerClient::new(shared.local_node, options, thread.handle().clone())
            .with_memory(shared.memory.clone());
        let sender = Arc::new(client.clone());
        let control = Control::spawn(cfg, shared.local_node, sender, shared.events.clone())?;
        let handler = PeerRequestHandler {
            events: shared.events.clone(),
            streams: Arc::clone(&shared.streams),
            control: Arc::clone(&control),
        };
        let server = PeerServer {
            local_node: shared.local_node,
            max_body_bytes: options.max_body_bytes,
            memory: shared.memory.clone(),
            connections: ConnectionLimiter::with_metrics(
                "peers",
                shared.bounds.peers(),
                shared.bounds_metrics.clone(),
            ),
            in_flight_work: shared.in_flight_work.clone(),
            versions: Arc::clone(client.versions()),
            handler: Arc::new(handler),
        };
        let listener = bind(cfg.peer, &thread)?;
        thread.spawn(Arc::new(server).serve(listener));
        let (commands, commands_rx) = mpsc::channel(cfg.ring_capacity);
        thread.spawn(run_exchanges(commands_rx, client, shared.events.clone()));
        Ok(PeerThread { commands, control, _thread: thread })
    }
}

fn peer_options(cfg: &Settings) -> PeerOptions {
    let local_ip = Some(cfg.peer.ip()).filter(|it| !it.is_unspecified());
    PeerOptions { local_ip, max_body_bytes: cfg.max_body_bytes + HANDOVER_MARGIN_BYTES }
}

fn bind(addr: SocketAddr, thread: &NetworkThread) -> Result<TcpListener, NodeStartError> {
    let bind = || {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let _cx = thread.handle().enter();
        TcpListener::from_std(listener)
    };
    bind().map_err(|source| NodeStartError::Bind { addr, source })
}
