use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use pollenlever_core::answer::is_final_status;
use pollenlever_core::mesh::{InstanceId, MeshAttempt};

use super::answer_body::BodyError;
use super::answer_statement::AnswerStatement;
use super::idle_limit::IdleLimit;
use super::target_connection::TargetConnection;
use super::target_result::TargetResult;
use super::target_run::TargetRun;
use super::{HeaderNames, forwarded_headers};
use crate::bounds::MessageMemory;
use crate::node::InFlightCounter;

/// Most idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Longest idle time of a connection on which a non-idempotent request is sent: if the target is
/// just closing the connection, the outcome would be unknown.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// Interval at which idle connections are closed that are no longer used.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Connections that are tried if the target closes them before the request is sent.
const MAX_CONNECTION_TRIES: usize = 3;

/// Sends requests to the target beside the node and reuses its connections.
#[derive(Debug)]
pub(super) struct TargetClient {
    addr: SocketAddr,
    names: HeaderNames,
    idle: Mutex<Vec<TargetConnection>>,
    idle_limit: IdleLimit,
    /// Memory for the bodies of answers.
    memory: MessageMemory,
    /// Counts open connections, in use or idle.
    open: InFlightCounter,
    /// Number of connections that the target accepts; 0 means unlimited.
    max_open: AtomicUsize,
}

/// Why no connection to the target is available.
enum ConnectError {
    /// As many connections are in use as the target accepts.
    AtLimit,
    /// Connecting failed.
    Failed(String),
}

impl TargetClient {
    pub(super) fn new(addr: SocketAddr, names: HeaderNames, memory: MessageMemory) -> TargetClient {
        TargetClient {
            addr,
            names,
            idle: Mutex::default(),
            idle_limit: IdleLimit::default(),
            memory,
            open: InFlightCounter::default(),
            max_open: AtomicUsize::new(0),
        }
    }

    /// Runs a request on the target `instance`. Dropping the future closes the connection.
    pub(super) async fn run(
        &self,
        instance: &InstanceId,
        head: &MeshAttempt,
        time_left: Duration,
        body: Bytes,
    ) -> TargetRun {
        let mut req = match self.request(instance, head, time_left, body) {
            Ok(req) => req,
            Err(reason) => return TargetResult::Unsendable(reason).into(),
        };
        for _ in 0..MAX_CONNECTION_TRIES {
            let mut connection = match self.connection(head).await {
                Ok(connection) => connection,
                Err(ConnectError::AtLimit) => return TargetResult::NoConnectionLeft.into(),
                Err(ConnectError::Failed(reason)) => {
                    return TargetResult::Unreachable(reason).into();
                }
            };
            let (idle_time, sent_at) = (connection.idle_time(), Instant::now());
            let mut err = match connection.send(req).await {
                Ok(response) => {
                    if let Some(idle_time) = idle_time {
                        self.idle_limit.record_reuse(idle_time);
                    }
                    return self.read_answer(connection, head, response).await;
                }
                Err(err) => err,
            };
            match err.take_message() {
                // The connection was closed before any of the request was sent.
                Some(unsent) => req = unsent,
                None => {
                    if let Some(idle_time) = idle_time {
                        self.idle_limit.record_loss(idle_time, sent_at.elapsed());
                    }
                    return TargetResult::Unknown(err.into_error().to_string()).into();
                }
            }
        }
        let reason = "connections closed before the request was sent".to_owned();
        TargetResult::Unreachable(reason).into()
    }

    /// Closes all idle connections, because the target was replaced.
    pub(super) fn close_idle_connections(&self) {
        self.idle_connections().clear();
    }

    /// Closes idle connections that are no longer used, for as long as the node runs.
    pub(super) async fn close_expired_connections(&self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            self.idle_connections().retain(|it| it.is_reusable(Duration::MAX));
        }
    }

    /// Sets the number of connections that the target accepts; 0 means unlimited.
    pub(super) fn set_max_connections(&self, max: u32) {
        self.max_open.store(max as usize, Ordering::Relaxed);
    }

    async fn connection(&self, head: &MeshAttempt) -> Result<TargetConnection, ConnectError> {
        if let Some(connection) = self.take_idle(head) {
            return Ok(connection);
        }
        self.make_room()?;
        let opened = TargetConnection::open(self.addr, self.open.start()).await;
        opened.map_err(ConnectError::Failed)
    }

    /// Takes the connection that was used last of those that may carry a request.
    fn take_idle(&self, head: &MeshAttempt) -> Option<TargetConnection> {
        let max_idle = if head.is_idempotent { Duration::MAX } else { MAX_IDLE_NON_IDEMPOTENT };
        let max_idle = max_idle.min(self.idle_limit.get());
        let mut idle = self.idle_connections();
        idle.retain(|it| it.is_reusable(Duration::MAX));
        let may_carry =
            |it: &TargetConnection| it.is_reusable(max_idle) && !it.has_rejected(&head.request_id);
        let at = idle.iter().rposition(may_carry)?;
        Some(idle.remove(at))
    }

    /// Closes an idle connection if as many are open as the target accepts.
    fn make_room(&self) -> Result<(), ConnectError> {
        let max_open = self.max_open.load(Ordering::Relaxed);
        if max_open == 0 || self.open.count() < max_open {
            return Ok(());
        }
        let closed = self.idle_connections().pop();
        closed.map(drop).ok_or(ConnectError::AtLimit)
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
        forwarded_headers::append_headers(headers, &head.headers);
        let value = |text: &str| HeaderValue::from_str(text).map_err(|err| err.to_string());
        headers.insert(&self.names.expected_instance, value(instance)?);
        headers.insert(&self.names.caller_service, value(&head.caller)?);
        headers.insert(
            &self.names.deadline_ms,
            time_left.as_millis().to_string().parse().expect("digits"),
        );
        Ok(req)
    }

    async fn read_answer(
        &self,
        connection: TargetConnection,
        head: &MeshAttempt,
        response: Response<Incoming>,
    ) -> TargetRun {
        let status = response.status().as_u16();
        let is_first = connection.idle_time().is_none();
        if let Some(reason) = self.mismatch(head, response.headers(), status, is_first) {
            return TargetResult::Unknown(reason).into();
        }
        // Another process than the expected one answers 421.
        let is_expected = status != 421;
        let statement = is_expected.then(|| AnswerStatement::read(&self.names, response.headers()));
        TargetRun { result: self.read_result(connection, head, response).await, statement }
    }

    async fn read_result(
        &self,
        mut connection: TargetConnection,
        head: &MeshAttempt,
        response: Response<Incoming>,
    ) -> TargetResult {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        let body = match connection.read_body(body, &self.memory).await {
            Ok(body) => body,
            Err(err) => return TargetResult::Unknown(broken_answer(&err)),
        };
        if self.says_not_run(status, &parts.headers) {
            connection.record_rejection(&head.request_id);
        }
        if connection.finish_exchange(&parts.headers).await {
            let mut idle = self.idle_connections();
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
        let headers = forwarded_headers::end_to_end_headers(&parts.headers);
        TargetResult::Answered { status, headers, body }
    }

    /// Whether an answer says that its request has not run and never will.
    fn says_not_run(&self, status: u16, headers: &HeaderMap) -> bool {
        status == 421 || headers.contains_key(&self.names.not_run)
    }

    /// Why an answer cannot be the target's answer to this request; `None` if it can. `is_first` is
    /// whether the connection has carried no other request: a later answer without an id may be
    /// a repeated one to an earlier request.
    fn mismatch(
        &self,
        head: &MeshAttempt,
        headers: &HeaderMap,
        status: u16,
        is_first: bool,
    ) -> Option<String> {
        if !is_final_status(status) {
            return Some(format!("status {status}, which HTTP does not have"));
        }
        match headers.get(&self.names.request_id).map(HeaderValue::as_bytes) {
            Some(id) if id == head.request_id.as_bytes() => {}
            None if is_first && self.says_not_run(status, headers) => {}
            Some(_) => return Some("answer to another request".to_owned()),
            None => return Some("answer without a request id".to_owned()),
        }
        let is_success = (200..300).contains(&status);
        if is_success && !headers.contains_key(&self.names.proof_header) {
            return Some("success without the target's proof".to_owned());
        }
        headers.contains_key(CONTENT_ENCODING).then(|| "answer has a content encoding".to_owned())
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Says why an answer could not be read to its end.
fn broken_answer(err: &BodyError) -> String {
    let cause = err.source().map(|it| format!(": {it}")).unwrap_or_default();
    format!("answer truncated: {err}{cause}")
}
