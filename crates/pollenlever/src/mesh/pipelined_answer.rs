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
use super::edge_answer::EdgeResponse;
use super::owner::Owner;
use super::pipeline::Turn;

/// Bytes that are on their way between a request's server and its connection.
const DUPLEX_BYTES: usize = 16 << 10;
/// Bytes that are copied at once.
const COPY_BYTES: usize = 8 << 10;
/// Smallest buffer that the server accepts for the head of a request, in bytes.
const MIN_BUF_BYTES: usize = 8 << 10;
/// Answer to a request whose end two readers could see at different places.
const AMBIGUOUS: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The answer to one request of a connection, as it is made.
pub(super) struct PipelinedAnswer {
    bytes: Box<dyn AsyncRead + Send + Unpin>,
}

impl PipelinedAnswer {
    /// Starts to answer a request. Its body, if it has one, is to be written to what is returned.
    pub(super) async fn start(
        shared: &Arc<MeshShared>,
        head: &[u8],
        turn: Turn,
        tasks: &mut JoinSet<()>,
    ) -> (PipelinedAnswer, WriteHalf<DuplexStream>) {
        let (server, ours) = tokio::io::duplex(DUPLEX_BYTES.max(head.len()));
        let (bytes, mut request) = tokio::io::split(ours);
        tasks.spawn(serve_one(Arc::clone(shared), server, turn));
        if let Err(err) = request.write_all(head).await {
            log::debug!("request not taken reason={:?}", err.to_string());
        }
        (PipelinedAnswer { bytes: Box::new(bytes) }, request)
    }

    /// Refuses a request that has a length beside chunks.
    pub(super) fn ambiguous() -> PipelinedAnswer {
        PipelinedAnswer { bytes: Box::new(AMBIGUOUS) }
    }

    /// Writes the answer. Returns whether there was one.
    pub(super) async fn write_to(mut self, io: &mut (impl AsyncWrite + Unpin)) -> io::Result<bool> {
        let mut buf = vec![0; COPY_BYTES];
        let mut is_empty = true;
        loop {
            let len = self.bytes.read(&mut buf).await?;
            if len == 0 {
                return Ok(!is_empty);
            }
            is_empty = false;
            io.write_all(&buf[..len]).await?;
        }
    }
}

/// Serves the one request of a stream, whose writer closes it behind the request.
async fn serve_one(shared: Arc<MeshShared>, io: DuplexStream, turn: Turn) {
    let max_buf = max_buf_bytes(&shared);
    let service = service_fn(|req| {
        let (shared, turn) = (Arc::clone(&shared), turn.clone());
        async move { Ok::<_, Infallible>(answer(shared, turn, req).await) }
    });
    let mut builder = http1::Builder::new();
    builder.half_close(true).max_buf_size(max_buf);
    if let Err(err) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("request of a caller not answered reason={:?}", err.to_string());
        turn.pipeline().close();
    }
}

/// Largest buffer for the head of a request, in bytes.
pub(super) fn max_buf_bytes(shared: &MeshShared) -> usize {
    shared.client_limits().max_header_bytes.max(MIN_BUF_BYTES)
}

/// Answers a request, and says whether the connection closes behind it.
pub(super) async fn answer(
    shared: Arc<MeshShared>,
    turn: Turn,
    req: Request<Incoming>,
) -> EdgeResponse {
    let asks_to_close = req.version() != Version::HTTP_11 || says_close(req.headers());
    let mut response = Owner::new(Arc::clone(&shared)).answer(req, &turn).await;
    // What has come behind this request is being answered, so that the close waits for it.
    let closes = turn.pipeline().is_closing() || (shared.is_leaving() && turn.is_last());
    if closes || asks_to_close {
        turn.pipeline().close();
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case("close"))
}
