use std::net::SocketAddr;
use std::sync::Arc;

use h2::server;
use pollenlever_core::id::NodeId;
use tokio::net::{TcpListener, TcpStream};

use super::connection::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use super::liveness::Liveness;
use super::serve_stream::serve_stream;
use super::{PeerVersions, SharedPeerHandler};
use crate::bounds::{ConnectionLimiter, ConnectionSlot, MessageMemory};
use crate::node::InFlightCounter;

/// Open streams that a peer may have on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Serves requests from peers.
pub struct PeerServer {
    /// This node.
    pub local_node: NodeId,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Memory for the bodies of requests.
    pub memory: MessageMemory,
    /// Limits the connections of peers.
    pub connections: ConnectionLimiter,
    /// Handles the requests.
    pub handler: SharedPeerHandler,
    /// Where the versions and builds of the peers are recorded.
    pub versions: Arc<PeerVersions>,
    /// Counts the requests whose replies are not yet written.
    pub in_flight_work: InFlightCounter,
}

impl PeerServer {
    /// Accepts connections; never returns.
    pub async fn serve(self: Arc<PeerServer>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((io, peer)) => {
                    let Some(slot) = self.connections.open().map(Arc::new) else { continue };
                    let server = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(err) = server.serve_connection(io, peer, slot).await {
                            log::warn!(
                                "connection of a peer failed peer={peer} reason={:?}",
                                err.to_string()
                            );
                        }
                    });
                }
                Err(err) => {
                    log::error!("accept failed reason={:?}", err.to_string());
                    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                }
            }
        }
    }

    async fn serve_connection(
        self: Arc<PeerServer>,
        io: TcpStream,
        peer: SocketAddr,
        slot: Arc<ConnectionSlot>,
    ) -> Result<(), h2::Error> {
        let _ = io.set_nodelay(true);
        let liveness = Liveness::new();
        let handshake = server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .handshake(liveness.watch(io));
        let mut connection = tokio::select! {
            connection = handshake => connection?,
            () = slot.wait_until_closed() => return Ok(()),
        };
        let pings = connection.ping_pong();
        let idle_or_silent = async {
            match pings {
                Some(pings) => liveness.wait_until_unusable(pings).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(idle_or_silent);
        let mut has_told_build = false;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                close_reason = &mut idle_or_silent => {
                    log::log!(close_reason.log_level(), "connection closed peer={peer} reason={close_reason:?}");
                    return Ok(());
                }
                () = slot.wait_until_closed() => return Ok(()),
            };
            let Some(accepted) = accepted else { return Ok(()) };
            let (req, respond) = accepted?;
            let stream_guard = liveness.open_stream();
            let tells_build = !std::mem::replace(&mut has_told_build, true);
            let server = Arc::clone(&self);
            let in_flight_guard = self.in_flight_work.start();
            let request_guard = slot.start_request();
            tokio::spawn(async move {
                let _in_flight_guard = in_flight_guard;
                serve_stream(&server, req, respond, tells_build).await;
                drop(stream_guard);
                drop(request_guard);
            });
        }
    }
}
