use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::bounds::{ConnectionLimiter, ConnectionSlot};

/// Largest body of a control request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Largest head of a control request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Delay before the next `accept` after one failed, for example because file descriptors ran out.
pub(super) const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Response to a control request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Response body.
    pub body: String,
}

/// Response to come to a control request.
pub type ControlFuture<'a> = Pin<Box<dyn Future<Output = ControlAnswer> + Send + 'a>>;

/// Handles control requests: those that the target and the platform send to a node.
pub trait ControlHandler: Send + Sync {
    /// Returns the response to one request.
    fn handle<'a>(&'a self, method: &'a str, path: &'a str, body: &'a [u8]) -> ControlFuture<'a>;
}

/// Shared [`ControlHandler`].
pub type SharedControlHandler = Arc<dyn ControlHandler>;

/// Accepts connections for as long as the node runs.
pub(super) async fn serve_control(
    listener: TcpListener,
    handler: SharedControlHandler,
    connections: ConnectionLimiter,
) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                // A connection for which there is no room is closed.
                if let Some(slot) = connections.open() {
                    tokio::spawn(serve_bounded(io, Arc::clone(&handler), Arc::new(slot)));
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
async fn serve_bounded(io: TcpStream, handler: SharedControlHandler, slot: Arc<ConnectionSlot>) {
    tokio::select! {
        () = serve_connection(io, handler, &slot) => {}
        () = slot.wait_until_closed() => {}
    }
}

async fn serve_connection(
    io: TcpStream,
    handler: SharedControlHandler,
    slot: &Arc<ConnectionSlot>,
) {
    let service = service_fn(|req| answer(req, Arc::clone(&handler), Arc::clone(slot)));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    if let Err(err) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("control connection ended reason={:?}", err.to_string());
    }
}

async fn answer(
    req: Request<Incoming>,
    handler: SharedControlHandler,
    slot: Arc<ConnectionSlot>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    slot.set_receiving(true);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    slot.set_receiving(false);
    let _running = slot.start_request();
    let answer = match body {
        Ok(body) => handler.handle(parts.method.as_str(), parts.uri.path(), &body.to_bytes()).await,
        Err(err) => {
            log::warn!("control request refused reason={:?}", err.to_string());
            ControlAnswer { status: 400, content_type: "text/plain", body: err.to_string() }
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = http::HeaderValue::from_static(answer.content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    Ok(response)
}
