use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use pollenlever_core::mesh::{InstanceId, MeshAttempt};

use super::idle_limit::IdleLimit;
use super::target_connection::TargetConnection;
use super::target_result::TargetResult;
use super::{HeaderNames, forwarded_headers};
use crate::node::OpenWork;

/// Unused connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time for which a connection may be unused before a request that must not run twice is sent on
/// it: a connection that is just being closed would leave its outcome unknown.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(1);
/// Connections that are tried while the target closes them before the request.
const MAX_SENDS: usize = 3;
/// Largest answer of a target, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Hands requests to the target beside the node.
#[derive(Debug)]
pub(super) struct TargetClient {
    addr: SocketAddr,
    names: HeaderNames,
    idle: Mutex<Vec<TargetConnection>>,
    idle_limit: IdleLimit,
    /// Connections that are open, used or not.
    open: OpenWork,
    /// Connections that the target accepts; 0 for any number.
    max_open: AtomicUsize,
}

/// Why there is no connection to the target.
enum NoConnection {
    /// The target accepts no more of them.
    Full,
    /// It does not take this one.
    Failed(String),
}

impl TargetClient {
    pub(super) fn new(addr: SocketAddr, names: HeaderNames) -> TargetClient {
        TargetClient {
            addr,
            names,
            idle: Mutex::default(),
            idle_limit: IdleLimit::default(),
            open: OpenWork::default(),
            max_open: AtomicUsize::new(0),
        }
    }

    /// Runs a request on `instance`. Dropping the future closes the connection.
    pub(super) async fn run(
        &self,
        instance: &InstanceId,
        head: &MeshAttempt,
        time_left: Duration,
        body: Bytes,
    ) -> TargetResult {
        let mut req = match self.request(instance, head, time_left, body) {
            Ok(req) => req,
            Err(reason) => return TargetResult::Unsendable(reason),
        };
        for _ in 0..MAX_SENDS {
            let mut connection = match self.connection(head.idempotent).await {
                Ok(connection) => connection,
                Err(NoConnection::Full) => return TargetResult::NoConnectionLeft,
                Err(NoConnection::Failed(reason)) => return TargetResult::Unreachable(reason),
            };
            let idle = connection.idle();
            let mut err = match connection.send(req).await {
                Ok(response) => return self.read(connection, head, response).await,
                Err(err) => err,
            };
            match err.take_message() {
                // The connection was closed before any of it was sent.
                Some(unsent) => req = unsent,
                None => {
                    if let Some(idle) = idle {
                        self.idle_limit.note_dead(idle);
                    }
                    return TargetResult::Unknown(err.into_error().to_string());
                }
            }
        }
        TargetResult::Unreachable("connections closed before the request".to_owned())
    }

    /// Closes all unused connections: the target was replaced.
    pub(super) fn forget_connections(&self) {
        self.idle().clear();
    }

    /// Takes the number of connections that the target accepts; 0 for any number.
    pub(super) fn set_max_connections(&self, max: u32) {
        self.max_open.store(max as usize, Ordering::Relaxed);
    }

    async fn connection(&self, idempotent: bool) -> Result<TargetConnection, NoConnection> {
        let max_idle = if idempotent { Duration::MAX } else { MAX_IDLE_ONCE };
        let max_idle = max_idle.min(self.idle_limit.get());
        loop {
            let popped = self.idle().pop();
            match popped {
                Some(connection) if connection.is_usable(max_idle) => return Ok(connection),
                Some(connection) if connection.is_usable(Duration::MAX) => {
                    self.idle().insert(0, connection);
                    break;
                }
                Some(_) => {}
                None => break,
            }
        }
        self.make_room()?;
        let opened = TargetConnection::open(self.addr, self.open.enter()).await;
        opened.map_err(NoConnection::Failed)
    }

    /// Closes an unused connection if there are as many as the target accepts.
    fn make_room(&self) -> Result<(), NoConnection> {
        let max_open = self.max_open.load(Ordering::Relaxed);
        if max_open == 0 || self.open.count() < max_open {
            return Ok(());
        }
        let closed = self.idle().pop();
        closed.map(drop).ok_or(NoConnection::Full)
    }

    fn request(
        &self,
        instance: &InstanceId,
        head: &MeshAttempt,
        time_left: Duration,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, String> {
        let method = Method::from_bytes(head.method.as_bytes()).map_err(|err| err.to_string())?;
        let uri: Uri = head.path.parse().map_err(|err| format!("{err}"))?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = uri;
        let headers = req.headers_mut();
        forwarded_headers::add_to(headers, &head.headers);
        let value = |text: &str| HeaderValue::from_str(text).map_err(|err| err.to_string());
        headers.insert(&self.names.expected_instance, value(instance)?);
        headers.insert(&self.names.caller_service, value(&head.caller)?);
        headers.insert(
            &self.names.deadline_ms,
            time_left.as_millis().to_string().parse().expect("digits"),
        );
        Ok(req)
    }

    async fn read(
        &self,
        mut connection: TargetConnection,
        head: &MeshAttempt,
        response: Response<Incoming>,
    ) -> TargetResult {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        if let Some(reason) = self.mismatch(head, &parts.headers, status) {
            return TargetResult::Unknown(reason);
        }
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = match collected {
            Ok(body) => body.to_bytes(),
            Err(err) => {
                let reason = format!("answer cut: {err}");
                return TargetResult::Unknown(reason);
            }
        };
        if connection.rest(&parts.headers).await {
            let mut idle = self.idle();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        if status == 421 {
            return TargetResult::WrongInstance;
        }
        if parts.headers.contains_key(&self.names.not_run) {
            return TargetResult::Rejected;
        }
        let headers = forwarded_headers::passed_on(&parts.headers);
        TargetResult::Answered { status, headers, body }
    }

    /// Why an answer is not the target's answer to this request, if it is not.
    fn mismatch(&self, head: &MeshAttempt, headers: &HeaderMap, status: u16) -> Option<String> {
        let says_not_run = status == 421 || headers.contains_key(&self.names.not_run);
        match headers.get(&self.names.request_id).map(HeaderValue::as_bytes) {
            Some(id) if id == head.request_id.as_bytes() => {}
            None if says_not_run => {}
            Some(_) => return Some("answer to another request".to_owned()),
            None => return Some("answer without a request id".to_owned()),
        }
        let is_success = (200..300).contains(&status);
        if is_success && !headers.contains_key(&self.names.answer_proof) {
            return Some("success without the target's proof".to_owned());
        }
        headers.contains_key(CONTENT_ENCODING).then(|| "answer with an encoding".to_owned())
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
