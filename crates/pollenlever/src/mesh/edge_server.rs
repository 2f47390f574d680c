use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::MeshShared;
use super::control_server::ACCEPT_PAUSE;
use super::edge_answer::EdgeResponse;
use super::hangup_io::HangupIo;
use super::owner::Owner;

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
        let io = HangupIo::new(io);
        let open = Arc::new(AtomicUsize::new(0));
        let service = service_fn(|req| {
            let shared = Arc::clone(&self.shared);
            let open = Arc::clone(&open);
            async move { Ok::<_, Infallible>(answer(shared, open, req).await) }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.shared.client_limits().max_header_bytes.max(MIN_BUF_BYTES));
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

/// Smallest buffer that the server accepts for the head of a request, in bytes.
const MIN_BUF_BYTES: usize = 8 << 10;

async fn answer(
    shared: Arc<MeshShared>,
    open: Arc<AtomicUsize>,
    req: Request<Incoming>,
) -> EdgeResponse {
    open.fetch_add(1, Ordering::Relaxed);
    let _open = OpenRequest(open);
    let is_plain = req.version() == Version::HTTP_11;
    let mut response = Owner::new(Arc::clone(&shared)).answer(req).await;
    if shared.is_leaving() || !is_plain {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request of a connection while it is answered.
struct OpenRequest(Arc<AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
