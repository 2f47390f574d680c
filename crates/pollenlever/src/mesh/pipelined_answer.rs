use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::{HeaderMap, Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, WriteHalf};
use tokio::task::JoinSet;

use super::MeshShared;
use super::caller_request::CallerRequest;
use super::edge_answer::EdgeResponse;
use super::request_dispatcher::RequestDispatcher;
use crate::bounds::ConnectionSlot;

/// Buffer between a request's HTTP server and its connection, in bytes.
const DUPLEX_BYTES: usize = 16 << 10;
/// Size of the buffer for copying an answer, in bytes.
const COPY_BYTES: usize = 8 << 10;
/// Smallest head buffer that hyper accepts, in bytes.
const MIN_BUF_BYTES: usize = 8 << 10;
/// Answer to a request with both a length and chunks, whose end two parsers could see at different
/// places.
const AMBIGUOUS_ANSWER: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Answer to a request for which the node has no memory, as [`ErrorKind::QueueFull`] has it. Nothing of
/// the request is read.
///
/// [`ErrorKind::QueueFull`]: pollenlever_core::answer::ErrorKind::QueueFull
const NO_ROOM_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    pollenlever-outcome: not-run\r\npollenlever-error: queue-full\r\nretry-after: 0.500\r\n\
    content-length: 0\r\n\r\n";

/// The answer to one request of a connection, read while it is produced.
pub(super) struct PipelinedAnswer {
    bytes: Box<dyn AsyncRead + Send + Unpin>,
}

impl PipelinedAnswer {
    /// Starts answering a request. The caller of this function writes the request body, if there is
    /// one, to the returned stream.
    pub(super) async fn start(
        shared: &Arc<MeshShared>,
        head: &[u8],
        caller: CallerRequest,
        tasks: &mut JoinSet<()>,
    ) -> (PipelinedAnswer, WriteHalf<DuplexStream>) {
        let (server, ours) = tokio::io::duplex(DUPLEX_BYTES.max(head.len()));
        let (bytes, mut request) = tokio::io::split(ours);
        tasks.spawn(serve_one(Arc::clone(shared), server, caller));
        if let Err(err) = request.write_all(head).await {
            log::debug!("request head not accepted reason={:?}", err.to_string());
        }
        (PipelinedAnswer { bytes: Box::new(bytes) }, request)
    }

    /// Refuses a request with both a `Content-Length` and a chunked body.
    pub(super) fn ambiguous() -> PipelinedAnswer {
        PipelinedAnswer { bytes: Box::new(AMBIGUOUS_ANSWER) }
    }

    /// Refuses a request for which the node has no memory.
    pub(super) fn no_room() -> PipelinedAnswer {
        PipelinedAnswer { bytes: Box::new(NO_ROOM_ANSWER) }
    }

    /// Writes the answer to `io`, the connection of `slot`. Returns whether there was one.
    pub(super) async fn write_to(
        mut self,
        io: &mut (impl AsyncWrite + Unpin),
        slot: &ConnectionSlot,
    ) -> io::Result<bool> {
        let mut buf = vec![0; COPY_BYTES];
        let mut is_empty = true;
        loop {
            let len = self.bytes.read(&mut buf).await?;
            if len == 0 {
                return Ok(!is_empty);
            }
            is_empty = false;
            slot.set_sending(true);
            let written = io.write_all(&buf[..len]).await;
            slot.set_sending(false);
            slot.record_progress(len);
            written?;
        }
    }
}

/// Serves the single request of a stream; the writer closes the stream after the request.
async fn serve_one(shared: Arc<MeshShared>, io: DuplexStream, caller: CallerRequest) {
    let max_buf = max_buf_bytes(&shared);
    let service = service_fn(|req| {
        let (shared, caller) = (Arc::clone(&shared), caller.clone());
        async move { Ok::<_, Infallible>(answer(shared, caller, req).await) }
    });
    let mut builder = http1::Builder::new();
    builder.half_close(true).max_buf_size(max_buf);
    if let Err(err) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("request of a caller not answered reason={:?}", err.to_string());
        caller.position.close();
    }
}

/// Largest size of the buffer for a request head, in bytes.
pub(super) fn max_buf_bytes(shared: &MeshShared) -> usize {
    shared.client_limits().max_header_bytes.max(MIN_BUF_BYTES)
}

/// Answers a request and sets `Connection: close` if the connection closes after it.
pub(super) async fn answer(
    shared: Arc<MeshShared>,
    caller: CallerRequest,
    req: Request<Incoming>,
) -> EdgeResponse {
    let asks_to_close = req.version() != Version::HTTP_11 || has_connection_close(req.headers());
    let mut response = RequestDispatcher::new(Arc::clone(&shared)).answer(req, &caller).await;
    if asks_to_close {
        caller.position.close();
    }
    if caller.position.begin_answer(shared.is_leaving()) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case("close"))
}
