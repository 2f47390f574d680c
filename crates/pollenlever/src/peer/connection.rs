use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h2::client::{self, SendRequest};
use pollenlever_core::message::PROTOCOL_VERSION;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use super::WireError;
use super::liveness::{Liveness, StreamGuard};

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Flow-control window of one stream, in bytes.
pub(super) const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Flow-control window of one connection, in bytes.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// An open connection to a peer.
#[derive(Debug, Clone)]
pub(super) struct Connection {
    /// Opens new streams.
    pub(super) streams: SendRequest<Bytes>,
    liveness: Liveness,
    version: Arc<AtomicU16>,
    has_told_build: Arc<AtomicBool>,
    ended: watch::Receiver<Option<String>>,
}

impl Connection {
    /// Connects and starts the task that drives the connection and closes it when the peer is
    /// silent or the connection idle.
    pub(super) async fn open(
        addr: SocketAddr,
        local_ip: Option<IpAddr>,
    ) -> Result<Connection, WireError> {
        let io_error = |err: std::io::Error| WireError::Stream(err.to_string());
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(addr, local_ip)).await;
        let io = connect.map_err(|_| WireError::Stream("connect timed out".to_owned()))?;
        let io = io.map_err(io_error)?;
        io.set_nodelay(true).map_err(io_error)?;
        let liveness = Liveness::new();
        let handshake = client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false)
            .handshake(liveness.watch(io));
        let (streams, mut driver) = handshake.await.map_err(super::message_io::stream_error)?;
        let (tx, ended) = watch::channel(None);
        let pings = driver.ping_pong();
        let watched = liveness.clone();
        tokio::spawn(async move {
            let idle_or_silent = async {
                match pings {
                    Some(pings) => watched.wait_until_unusable(pings).await,
                    None => std::future::pending().await,
                }
            };
            let reason = tokio::select! {
                res = driver => match res {
                    Ok(()) => "connection closed".to_owned(),
                    Err(err) => err.to_string(),
                },
                close_reason = idle_or_silent => {
                    log::log!(close_reason.log_level(), "connection closed peer={addr} reason={close_reason:?}");
                    format!("connection was {close_reason:?}").to_lowercase()
                }
            };
            let _ = tx.send(Some(reason));
        });
        Ok(Connection {
            streams,
            liveness,
            version: Arc::new(AtomicU16::new(PROTOCOL_VERSION)),
            has_told_build: Arc::default(),
            ended,
        })
    }

    /// Whether new streams may be opened.
    pub(super) fn is_open(&self) -> bool {
        self.ended.borrow().is_none() && self.ended.has_changed().is_ok()
    }

    /// Whether data on the connection may no longer arrive.
    pub(super) fn is_suspect(&self) -> bool {
        self.liveness.is_suspect()
    }

    /// Protocol version in which requests are sent: this node's, until the peer shows an older one.
    pub(super) fn version(&self) -> u16 {
        self.version.load(Ordering::Relaxed)
    }

    pub(super) fn set_version(&self, version: u16) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Whether the next request is to tell the build of this node: true for the first one.
    pub(super) fn take_build_turn(&self) -> bool {
        !self.has_told_build.swap(true, Ordering::Relaxed)
    }

    /// Counts a stream as open until the guard is dropped.
    pub(super) fn open_stream(&self) -> StreamGuard {
        self.liveness.open_stream()
    }

    /// Waits until the connection is closed, by either side, and returns the reason.
    pub(super) async fn wait_until_closed(&self) -> WireError {
        let mut ended = self.ended.clone();
        let reason = match ended.wait_for(Option::is_some).await {
            Ok(reason) => reason.clone().unwrap_or_default(),
            Err(_) => "connection dropped".to_owned(),
        };
        WireError::Stream(reason)
    }
}

async fn connect(addr: SocketAddr, local_ip: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(ip) = local_ip.filter(|it| it.is_ipv4() == addr.is_ipv4()) {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    socket.connect(addr).await
}
