use std::net::SocketAddr;
use std::sync::Arc;

use h2::server;
use pollenlever_core::id::NodeId;
use tokio::net::{TcpListener, TcpStream};

use super::BoxPeerHandler;
use super::connection::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use super::liveness::Liveness;
use super::serve_stream::serve_stream;
use crate::node::OpenWork;

/// Streams that a peer may have open on one connection.
const MAX_STREAMS: u32 = 4096;

/// Serves requests of peers.
pub struct PeerServer {
    /// This node.
    pub me: NodeId,
    /// Largest body.
    pub max_body_bytes: usize,
    /// Decides about requests.
    pub handler: BoxPeerHandler,
    /// Replies that are not yet written.
    pub open_work: OpenWork,
}

impl PeerServer {
    /// Accepts connections for ever.
    pub async fn serve(self: Arc<PeerServer>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((io, peer)) => {
                    let server = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(err) = server.serve_connection(io, peer).await {
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
    ) -> Result<(), h2::Error> {
        let _ = io.set_nodelay(true);
        let liveness = Liveness::new();
        let handshake = server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(liveness.watch(io));
        let mut connection = handshake.await?;
        let pings = connection.ping_pong();
        let silence = async {
            match pings {
                Some(pings) => liveness.until_unusable(pings).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(silence);
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                unusable = &mut silence => {
                    log::log!(unusable.log_level(), "connection closed peer={peer} reason={unusable:?}");
                    return Ok(());
                }
            };
            let Some(accepted) = accepted else { return Ok(()) };
            let (req, respond) = accepted?;
            let work = liveness.open_stream();
            let server = Arc::clone(&self);
            let open = self.open_work.enter();
            tokio::spawn(async move {
                let _open = open;
                serve_stream(&server, req, respond).await;
                drop(work);
            });
        }
    }
}
