use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::MeshShared;
use super::control_server::ACCEPT_PAUSE;
use super::edge_connection::{ConnectionEnd, EdgeConnection};
use super::hangup_io::HangupIo;
use super::pipeline::Pipeline;
use super::pipelined_answer::{answer, max_buf_bytes};

/// Time past the limit for idle connections at which they are closed, so that a caller that keeps
/// to the limit does not meet the close.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Shortest time between two checks for an idle connection.
const MIN_IDLE_CHECK: Duration = Duration::from_millis(500);

/// Serves callers on this VM and the target's own calls.
pub(super) struct EdgeServer {
    pub(super) shared: Arc<MeshShared>,
}

impl EdgeServer {
    /// Accepts connections until the node stops.
    pub(super) async fn serve(self: Arc<EdgeServer>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shared.until_stopped() => return,
            };
            match accepted {
                Ok((io, _)) => {
                    tokio::spawn(Arc::clone(&self).serve_connection(io));
                }
                Err(err) => {
                    log::error!("accept failed reason={:?}", err.to_string());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self: Arc<EdgeServer>, io: TcpStream) {
        if let Err(err) = io.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY reason={:?}", err.to_string());
        }
        let _open = self.shared.open_connections.enter();
        match EdgeConnection::serve(Arc::clone(&self.shared), io).await {
            ConnectionEnd::Closed => {}
            ConnectionEnd::Chunked(io, ahead) => self.serve_chunked(io, ahead).await,
        }
    }

    /// Serves a connection whose requests come in chunks, one after another.
    async fn serve_chunked(&self, io: TcpStream, ahead: BytesMut) {
        let io = HangupIo::new(io, ahead);
        let open = Arc::new(AtomicUsize::new(0));
        let service = service_fn(|req| {
            let shared = Arc::clone(&self.shared);
            let open = OpenRequest::new(&open);
            async move {
                let _open = open;
                Ok::<_, Infallible>(answer(shared, Pipeline::default().take(), req).await)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(max_buf_bytes(&self.shared));
        let connection = builder.serve_connection(TokioIo::new(io.clone()), service);
        tokio::pin!(connection);
        let idle = self.until_idle(&io, &open);
        tokio::pin!(idle);
        let mut is_closing = false;
        loop {
            tokio::select! {
                biased;
                // The work of the connection is dropped with it.
                () = poll_fn(|cx| io.poll_hangup(cx)) => return,
                res = connection.as_mut() => {
                    if let Err(err) = res {
                        log::debug!("connection of a caller ended reason={:?}", err.to_string());
                    }
                    return;
                }
                () = &mut idle, if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Resolves once a connection has been idle for longer than it may, or the node stops.
    async fn until_idle(&self, io: &HangupIo, open: &AtomicUsize) {
        let stopped = self.shared.until_stopped();
        tokio::pin!(stopped);
        loop {
            let limit = self.shared.client_limits().idle_timeout + IDLE_MARGIN;
            let idle = Instant::now().saturating_duration_since(io.last_read());
            let is_busy = open.load(Ordering::Relaxed) > 0;
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

/// Counts a request of a connection while it is answered.
struct OpenRequest(Arc<AtomicUsize>);

impl OpenRequest {
    fn new(open: &Arc<AtomicUsize>) -> OpenRequest {
        open.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(open))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
