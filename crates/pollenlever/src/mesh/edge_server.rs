use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::{TcpListener, TcpStream};

use super::MeshShared;
use super::caller_request::CallerRequest;
use super::control_server::ACCEPT_RETRY_DELAY;
use super::edge_connection::{ConnectionEnd, EdgeConnection};
use super::pipeline::PipelinePosition;
use super::pipelined_answer::{answer, max_buf_bytes};
use super::stop_phase::StopPhase;
use crate::bounds::ConnectionSlot;
use crate::net::{HangupIo, HttpConnection};

/// Time added to the configured idle timeout, so that a caller that stays just within it does not
/// have its connection closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Accepts requests from callers on this VM (the machine beside which the node runs) and from the
/// target, the server process beside the node.
pub(super) struct EdgeServer {
    pub(super) shared: Arc<MeshShared>,
}

impl EdgeServer {
    /// Accepts connections until the node stops.
    pub(super) async fn serve(self: Arc<EdgeServer>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shared.wait_for_stop_phase(StopPhase::Stopped) => return,
            };
            match accepted {
                Ok((io, _)) => {
                    // A connection for which there is no room is closed.
                    if let Some(slot) = self.shared.callers.open() {
                        tokio::spawn(Arc::clone(&self).serve_bounded(io, Arc::new(slot)));
                    }
                }
                Err(err) => {
                    log::error!("accept failed reason={:?}", err.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection until it ends, or is closed to make room.
    async fn serve_bounded(self: Arc<EdgeServer>, io: TcpStream, slot: Arc<ConnectionSlot>) {
        tokio::select! {
            () = self.serve_connection(io, Arc::clone(&slot)) => {}
            () = slot.wait_until_closed() => {}
        }
    }

    async fn serve_connection(&self, io: TcpStream, slot: Arc<ConnectionSlot>) {
        if let Err(err) = io.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY reason={:?}", err.to_string());
        }
        let _open = self.shared.open_connections.start();
        match EdgeConnection::serve(Arc::clone(&self.shared), io, Arc::clone(&slot)).await {
            ConnectionEnd::Closed => {}
            ConnectionEnd::Chunked(io, read_ahead) => {
                self.serve_chunked(io, read_ahead, slot).await;
            }
        }
    }

    /// Serves a connection with chunked request bodies, one request after another.
    async fn serve_chunked(&self, io: TcpStream, read_ahead: BytesMut, slot: Arc<ConnectionSlot>) {
        let io = HangupIo::new(io, read_ahead, Arc::clone(&slot));
        let connection = HttpConnection::new(io, max_buf_bytes(&self.shared));
        let service = |req| {
            let caller =
                CallerRequest { position: PipelinePosition::alone(), slot: Arc::clone(&slot) };
            answer(Arc::clone(&self.shared), caller, req)
        };
        let idle_timeout = || self.shared.client_limits().idle_timeout + IDLE_MARGIN;
        let stopped = self.shared.wait_for_stop_phase(StopPhase::Stopped);
        connection.serve(service, idle_timeout, stopped).await;
    }
}
