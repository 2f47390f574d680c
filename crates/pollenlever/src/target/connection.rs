use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use pollenlever_core::mesh::{AnswerBytes, RequestId};
use tokio::net::{TcpSocket, TcpStream};

use super::PoolSettings;
use super::answer_body::{BodyError, read_body};
use crate::bounds::MessageMemory;
use crate::net::{EarlyAnswerIo, ObservedIo, ReadObserver, TakesNothing};
use crate::node::InFlightGuard;

/// Receive buffer of a connection, in bytes. The kernel doubles it; without a size it may grow to tens
/// of megabytes for a target that sends faster than the node reads.
const RECV_BUFFER_BYTES: u32 = 1 << 20;
/// Most bytes that a connection buffers, and so the longest head of an answer. What is read of a body before
/// [`TargetConnection::send`] returns is a few such buffers, and stays below the limit for what may come
/// before a body.
const MAX_BUF_BYTES: usize = 64 << 10;
/// Time for which an idle connection is kept if the target does not announce its own limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the target's announced limit at which an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Rejections after which a connection is closed, so that it remembers few ids.
const MAX_REJECTIONS: usize = 32;

/// An open connection to the target beside the node.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes of the answer that is being read.
    bytes: Arc<AnswerBytes>,
    /// Whether the target has closed the connection, maybe behind an answer.
    takes_nothing: TakesNothing,
    /// When the last answer was read; `None` before the first one.
    idle_since: Option<Instant>,
    idle_limit: Duration,
    /// Requests that the target has rejected on this connection.
    rejected: Vec<RequestId>,
    _open: InFlightGuard,
}

impl TargetConnection {
    /// Connects; `open` counts the connection while it exists. Dropping the connection closes it,
    /// even while the target is working.
    pub(crate) async fn open(
        addr: SocketAddr,
        settings: PoolSettings,
        open: InFlightGuard,
    ) -> Result<TargetConnection, String> {
        let connect = tokio::time::timeout(settings.connect_timeout, connect(addr)).await;
        let io = connect.map_err(|_| "connect timed out".to_owned())?;
        let io = io.map_err(|err| err.to_string())?;
        if let Err(err) = io.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY reason={:?}", err.to_string());
        }
        let bytes = Arc::new(AnswerBytes::new(settings.answers));
        let (io, takes_nothing) = EarlyAnswerIo::new(ObservedIo::new(io, bytes.clone()));
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_BUF_BYTES);
        let handshake = builder.handshake(TokioIo::new(io)).await;
        let (sender, driver) = handshake.map_err(|err| err.to_string())?;
        tokio::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("connection to the target ended reason={:?}", err.to_string());
            }
        });
        Ok(TargetConnection {
            sender,
            bytes,
            takes_nothing,
            idle_since: None,
            idle_limit: DEFAULT_IDLE,
            rejected: Vec::new(),
            _open: open,
        })
    }

    /// Whether the connection is ready and has been idle for less than its limit and `max_idle`, so
    /// that the target is not about to close it.
    pub(crate) fn is_reusable(&self, max_idle: Duration) -> bool {
        self.sender.is_ready()
            && !self.takes_nothing.get()
            && self.idle_time().unwrap_or_default() < self.idle_limit.min(max_idle)
    }

    /// Time since the last answer was read; `None` before the first one.
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        self.idle_since.map(|it| it.elapsed())
    }

    /// Whether the target has rejected the request on this connection. A repeated copy of that
    /// rejection could not be told from the answer to another send of the same request.
    pub(crate) fn has_rejected(&self, id: &RequestId) -> bool {
        self.rejected.contains(id)
    }

    /// Records that the target has rejected a request.
    pub(crate) fn record_rejection(&mut self, id: &RequestId) {
        self.rejected.push(id.clone());
    }

    /// Sends a request and waits for the head of the answer. The error returns the request if
    /// nothing of it was sent.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.bytes.start_answer();
        let response = self.sender.try_send_request(req).await?;
        self.bytes.start_body();
        Ok(response)
    }

    /// Reads the body of the answer whose head [`send`](TargetConnection::send) returned.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        memory: &MessageMemory,
    ) -> Result<Bytes, BodyError> {
        read_body(body, &self.bytes, memory).await
    }

    /// Records that an answer was read to its end. Returns whether the connection can be reused.
    pub(crate) fn finish_exchange(&mut self, headers: &HeaderMap) -> bool {
        self.idle_since = Some(Instant::now());
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_limit = timeout.saturating_sub(IDLE_MARGIN);
        }
        let asks_to_close = headers
            .get_all(http::header::CONNECTION)
            .iter()
            .any(|it| it.to_str().is_ok_and(|it| it.to_ascii_lowercase().contains("close")));
        let is_kept = self.rejected.len() < MAX_REJECTIONS && !asks_to_close;
        is_kept && !self.sender.is_closed() && !self.takes_nothing.get()
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Err(err) = socket.set_recv_buffer_size(RECV_BUFFER_BYTES) {
        log::debug!("cannot set SO_RCVBUF reason={:?}", err.to_string());
    }
    socket.connect(addr).await
}

/// Reading fails once an answer is longer than allowed.
impl ReadObserver for AnswerBytes {
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        self.record(bytes).map_err(io::Error::other)
    }
}

/// Timeout from the header `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
