use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWrite;
use tokio::net::{TcpListener, TcpStream};

use super::MeshShared;
use super::caller_request::CallerRequest;
use super::control_server::ACCEPT_RETRY_DELAY;
use super::edge_connection::{ConnectionEnd, EdgeConnection};
use super::hangup_io::HangupIo;
use super::linger::wait_until_taken;
use super::pipeline::PipelinePosition;
use super::pipelined_answer::{answer, max_buf_bytes};
use super::stop_phase::StopPhase;
use crate::bounds::ConnectionSlot;

/// Time added to the configured idle timeout, so that a caller that stays just within it does not
/// have its connection closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Shortest time between two checks whether a connection is idle.
const MIN_IDLE_CHECK: Duration = Duration::from_millis(500);

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
        let in_flight = Arc::new(AtomicUsize::new(0));
        let service = service_fn(|req| {
            let shared = Arc::clone(&self.shared);
            let guard = RequestGuard::new(&in_flight);
            let slot = Arc::clone(&slot);
            async move {
                let _guard = guard;
                let caller = CallerRequest { position: PipelinePosition::alone(), slot };
                Ok::<_, Infallible>(answer(shared, caller, req).await)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(max_buf_bytes(&self.shared));
        let connection = builder.serve_connection(TokioIo::new(io.clone()), service);
        tokio::pin!(connection);
        let idle = self.wait_until_idle(&io, &in_flight);
        tokio::pin!(idle);
        let mut is_closing = false;
        loop {
            tokio::select! {
                biased;
                // Returning drops the connection's unfinished requests.
                () = poll_fn(|cx| io.poll_hangup(cx)) => return,
                res = connection.as_mut() => {
                    if let Err(err) = res {
                        log::debug!("connection of a caller ended reason={:?}", err.to_string());
                    }
                    return self.linger(&io).await;
                }
                () = &mut idle, if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Drops what the caller still sends until it has taken the answers, which have ended, or closes the
    /// connection.
    async fn linger(&self, io: &HangupIo) {
        let max_stall = self.shared.client_limits().idle_timeout + IDLE_MARGIN;
        // The server has ended the answers, unless the request could not be read.
        let ended = poll_fn(|cx| Pin::new(&mut io.clone()).poll_shutdown(cx)).await;
        if let Err(err) = ended {
            log::debug!("connection of a caller not shut down reason={:?}", err.to_string());
            return;
        }
        tokio::select! {
            () = poll_fn(|cx| io.poll_drained(cx)) => {}
            () = wait_until_taken(|| io.unsent_bytes(), max_stall) => {}
        }
    }

    /// Resolves once the connection has been idle for the idle timeout, or the node stops.
    async fn wait_until_idle(&self, io: &HangupIo, in_flight: &AtomicUsize) {
        let stopped = self.shared.wait_for_stop_phase(StopPhase::Stopped);
        tokio::pin!(stopped);
        loop {
            let limit = self.shared.client_limits().idle_timeout + IDLE_MARGIN;
            let idle = Instant::now().saturating_duration_since(io.last_read());
            let is_busy = in_flight.load(Ordering::Relaxed) > 0;
            if !is_busy && idle >= limit {
                return;
            }
            let wait = if is_busy { limit } else { limit.saturating_sub(idle) };
            tokio::select! {
                () = tokio::time::sleep(wait.max(MIN_IDLE_CHECK)) => {}
                () = &mut stopped => return,
            }
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct RequestGuard(Arc<AtomicUsize>);

impl RequestGuard {
    fn new(in_flight: &Arc<AtomicUsize>) -> RequestGuard {
        in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(in_flight))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
