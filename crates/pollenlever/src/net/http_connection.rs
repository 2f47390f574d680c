use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWrite;

use super::hangup_io::HangupIo;
use super::linger::wait_until_taken;

/// Shortest time between two checks whether a connection is idle.
const MIN_IDLE_CHECK: Duration = Duration::from_millis(500);

/// A connection of a caller, on which requests are served one after another.
pub(crate) struct HttpConnection {
    io: HangupIo,
    in_flight: Arc<AtomicUsize>,
    /// Largest size of the buffer for a request head, in bytes.
    max_buf_bytes: usize,
}

impl HttpConnection {
    pub(crate) fn new(io: HangupIo, max_buf_bytes: usize) -> HttpConnection {
        HttpConnection { io, in_flight: Arc::default(), max_buf_bytes }
    }

    /// Answers requests with `service` until the caller hangs up, the connection has been idle for what
    /// `idle_timeout` returns, or `stopped` resolves. Unfinished requests of a caller that hangs up are
    /// dropped.
    pub(crate) async fn serve<F, B>(
        &self,
        service: impl Fn(Request<Incoming>) -> F,
        idle_timeout: impl Fn() -> Duration,
        stopped: impl Future<Output = ()>,
    ) where
        F: Future<Output = Response<B>>,
        B: Body + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let service = service_fn(|req| {
            let guard = RequestGuard::new(&self.in_flight);
            let response = service(req);
            async move {
                let _guard = guard;
                Ok::<_, Infallible>(response.await)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.max_buf_bytes);
        let connection = builder.serve_connection(TokioIo::new(self.io.clone()), service);
        let closing = self.wait_until_idle(&idle_timeout, stopped);
        tokio::pin!(connection, closing);
        let mut is_closing = false;
        loop {
            tokio::select! {
                biased;
                // Returning drops the connection's unfinished requests.
                () = poll_fn(|cx| self.io.poll_hangup(cx)) => return,
                res = connection.as_mut() => {
                    if let Err(err) = res {
                        log::debug!("connection of a caller ended reason={:?}", err.to_string());
                    }
                    return self.linger(idle_timeout()).await;
                }
                () = &mut closing, if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Drops what the caller still sends until it has taken the answers, which have ended, or closes the
    /// connection, or takes nothing for `max_stall`.
    async fn linger(&self, max_stall: Duration) {
        // The server has ended the answers, unless the request could not be read.
        let ended = poll_fn(|cx| Pin::new(&mut self.io.clone()).poll_shutdown(cx)).await;
        if let Err(err) = ended {
            log::debug!("connection of a caller not shut down reason={:?}", err.to_string());
            return;
        }
        tokio::select! {
            () = poll_fn(|cx| self.io.poll_drained(cx)) => {}
            () = wait_until_taken(|| self.io.unsent_bytes(), max_stall) => {}
        }
    }

    /// Resolves once the connection has been idle for the idle timeout, or `stopped` has resolved.
    async fn wait_until_idle(
        &self,
        idle_timeout: impl Fn() -> Duration,
        stopped: impl Future<Output = ()>,
    ) {
        tokio::pin!(stopped);
        loop {
            let limit = idle_timeout();
            let idle = Instant::now().saturating_duration_since(self.io.last_read());
            let is_busy = self.in_flight.load(Ordering::Relaxed) > 0;
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
