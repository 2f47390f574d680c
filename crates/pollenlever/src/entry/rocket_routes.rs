use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use rocket::http::{Header, Method};
use rocket::local::asynchronous::{Client, LocalRequest, LocalResponse};
use rocket::{Build, Rocket};
use tokio::io::AsyncReadExt;
use tokio::sync::{mpsc, oneshot};

use super::entry_body::{AbortOnDrop, EntryBody};
use super::read_body::ReadBody;
use crate::bounds::ConnectionSlot;

/// Path prefix of calls, whose handlers take the body from [`ReadBody`].
const CALL_PREFIX: &str = "/call/";
/// Largest part of an answer that is passed on at a time, in bytes.
const PART_BYTES: usize = 16 << 10;

/// The routes of the node, called in this process. Rocket chooses the route and runs its handler; the
/// connections, which rocket cannot bound, are served by [`EntryServer`](super::EntryServer).
pub(super) struct RocketRoutes {
    client: Client,
}

/// A request whose body has been read.
pub(super) struct EntryRequest {
    pub(super) parts: Parts,
    pub(super) body: ReadBody,
    /// Address of the caller.
    pub(super) caller: SocketAddr,
    /// Connection of the caller.
    pub(super) slot: Arc<ConnectionSlot>,
}

/// Head of an answer, and the length of its body if that is known.
type AnswerHead = (Response<()>, Option<u64>);

impl RocketRoutes {
    /// Checks the routes.
    ///
    /// # Errors
    ///
    /// [`rocket::Error`] if they collide or the configuration is wrong.
    pub(super) async fn new(rocket: Rocket<Build>) -> Result<RocketRoutes, rocket::Error> {
        Ok(RocketRoutes { client: Client::untracked(rocket).await? })
    }

    /// Answers a request. Dropping the future or the body of the answer cancels its handler.
    pub(super) async fn call(self: Arc<RocketRoutes>, req: EntryRequest) -> Response<EntryBody> {
        let (head_tx, head_rx) = oneshot::channel();
        let (parts_tx, parts_rx) = mpsc::channel(1);
        let task = AbortOnDrop(tokio::spawn(self.run(req, head_tx, parts_tx)));
        // A handler that ends without an answer has panicked.
        let (head, len) = head_rx.await.unwrap_or_else(|_| {
            let mut head = Response::new(());
            *head.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            (head, Some(0))
        });
        head.map(|()| EntryBody::new(parts_rx, len, task))
    }

    async fn run(
        self: Arc<RocketRoutes>,
        req: EntryRequest,
        head: oneshot::Sender<AnswerHead>,
        parts: mpsc::Sender<Bytes>,
    ) {
        let slot = Arc::clone(&req.slot);
        let mut response = self.local_request(req).dispatch().await;
        let len = response.body().preset_size();
        let _held = slot.hold(len.unwrap_or_default());
        if head.send((answer_head(&response), len.map(|it| it as u64))).is_err() {
            return;
        }
        loop {
            let mut part = BytesMut::with_capacity(PART_BYTES);
            let read = response.read_buf(&mut part).await;
            if !read.is_ok_and(|len| len > 0) || parts.send(part.freeze()).await.is_err() {
                return;
            }
        }
    }

    fn local_request(&self, req: EntryRequest) -> LocalRequest<'_> {
        // A method that rocket does not know has no route.
        let method = Method::from_str(req.parts.method.as_str()).unwrap_or(Method::Trace);
        let path = req.parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        let is_call = path.starts_with(CALL_PREFIX);
        let mut local = self.client.req(method, path).remote(req.caller);
        for (name, value) in &req.parts.headers {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            local.add_header(Header::new(name.as_str().to_owned(), value));
        }
        if !is_call && let ReadBody(Ok(body)) = &req.body {
            local = local.body(body);
        }
        local.inner().local_cache(|| req.body);
        local
    }
}

fn answer_head(response: &LocalResponse<'_>) -> Response<()> {
    let mut head = Response::new(());
    let status = StatusCode::from_u16(response.status().code);
    *head.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for header in response.headers().iter() {
        let name = HeaderName::from_bytes(header.name().as_str().as_bytes());
        let value = HeaderValue::from_str(header.value());
        if let (Ok(name), Ok(value)) = (name, value) {
            head.headers_mut().append(name, value);
        }
    }
    head
}
