use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::network_thread::NetworkThread;
use super::shared::Shared;
use super::{NodeError, PolicyHandler};
use crate::control::{BoxControl, Control};
use crate::peer::{PeerClient, PeerCommand, PeerOptions, PeerServer, run_exchanges};
use crate::settings::Settings;

/// Bytes by which a body between nodes may be over the limit for callers, for records that are
/// handed over.
const BODY_MARGIN_BYTES: usize = 1 << 20;

/// The thread of the streams to and from other nodes.
pub(super) struct PeerThread {
    /// Ring to the thread.
    pub(super) commands: mpsc::Sender<PeerCommand>,
    /// Members and configurations, which reach other nodes through the thread.
    pub(super) control: BoxControl,
    _thread: NetworkThread,
}

impl PeerThread {
    /// Binds the peer address and starts to serve.
    pub(super) fn start(cfg: &Settings, shared: &Shared) -> Result<PeerThread, NodeError> {
        let thread = NetworkThread::start("peer")?;
        let options = options(cfg);
        let client = PeerClient::new(shared.me, options, thread.handle().clone());
        let sender = Arc::new(client.clone());
        let control = Control::spawn(cfg, shared.me, sender, shared.events.clone())?;
        let handler = PolicyHandler {
            events: shared.events.clone(),
            streams: Arc::clone(&shared.streams),
            control: Arc::clone(&control),
        };
        let server = PeerServer {
            me: shared.me,
            max_body_bytes: options.max_body_bytes,
            open_work: shared.open_work.clone(),
            handler: Arc::new(handler),
        };
        let listener = bind(cfg.peer, &thread)?;
        thread.spawn(Arc::new(server).serve(listener));
        let (commands, commands_rx) = mpsc::channel(cfg.ring_capacity);
        thread.spawn(run_exchanges(commands_rx, client, shared.events.clone()));
        Ok(PeerThread { commands, control, _thread: thread })
    }
}

fn options(cfg: &Settings) -> PeerOptions {
    let local_ip = Some(cfg.peer.ip()).filter(|it| !it.is_unspecified());
    PeerOptions { local_ip, max_body_bytes: cfg.max_body_bytes + BODY_MARGIN_BYTES }
}

fn bind(addr: SocketAddr, thread: &NetworkThread) -> Result<TcpListener, NodeError> {
    let bind = || {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let _cx = thread.handle().enter();
        TcpListener::from_std(listener)
    };
    bind().map_err(|source| NodeError::Bind { addr, source })
}
