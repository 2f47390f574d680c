use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use pollenlever_core::answer::is_final_status;
use pollenlever_core::id::AttemptId;
use pollenlever_core::mesh::AnswerLimits;
use pollenlever_core::policy::RunResult;

use super::headers::is_end_to_end;
use crate::bounds::MessageMemory;
use crate::target::{
    BodyError, ConnectionPool, PoolSettings, ReuseRule, SendError, TargetConnection,
};

/// Header with the id of the attempt. The target copies it to the calls that it makes, so that
/// these are linked to the attempt.
const CALL_HEADER: HeaderName = HeaderName::from_static("pollenlever-call");
/// Header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("pollenlever-deadline-ms");
/// Time after which an idle connection to the target is closed. Shorter than the usual keep-alive
/// timeout of servers, so that no request is sent on a connection that the target is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a new connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP request to the target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// Id of the attempt (one try to run a call on a target).
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers, without those that the node sets itself.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// HTTP client for the target beside this node.
#[derive(Debug, Clone)]
pub struct TargetClient {
    pool: Arc<ConnectionPool>,
    memory: MessageMemory,
}

impl TargetClient {
    /// Creates a client for the target at `target`. An answer with a body of more than
    /// `max_body_bytes` is reported as [`RunResult::TooLarge`].
    ///
    /// ```
    /// let target = "127.0.0.1:7200".parse().unwrap();
    /// let client = pollenlever::gate::TargetClient::new(target, 1 << 20);
    /// assert_eq!(client.target(), target);
    /// ```
    pub fn new(target: SocketAddr, max_body_bytes: usize) -> TargetClient {
        let answers = AnswerLimits { max_answer_bytes: max_body_bytes, ..AnswerLimits::default() };
        let settings = PoolSettings { connect_timeout: CONNECT_TIMEOUT, answers };
        let pool = Arc::new(ConnectionPool::new(target, settings));
        TargetClient { pool, memory: MessageMemory::default() }
    }

    /// Takes the memory for the bodies of answers from `memory`.
    pub fn with_memory(self, memory: MessageMemory) -> TargetClient {
        TargetClient { memory, ..self }
    }

    /// Address of the target.
    pub fn target(&self) -> SocketAddr {
        self.pool.addr()
    }

    /// Closes idle connections that are no longer used, for as long as the node runs.
    pub(crate) async fn close_expired_connections(self) {
        self.pool.close_expired_connections().await;
    }

    /// Sends `req` and reads the complete answer. Returns [`RunResult::TimedOut`] once
    /// [`time_left`](TargetRequest::time_left) has passed.
    pub async fn run(&self, req: TargetRequest) -> RunResult {
        let time_left = req.time_left;
        match tokio::time::timeout(time_left, self.run_without_timeout(req)).await {
            Ok(result) => result,
            Err(_) => RunResult::TimedOut,
        }
    }

    async fn run_without_timeout(&self, req: TargetRequest) -> RunResult {
        let attempt = req.attempt;
        let req = match self.http_request(req) {
            Ok(req) => req,
            Err(err) => {
                log::warn!("run not sent attempt={attempt} reason={:?}", err.to_string());
                return RunResult::Unreachable;
            }
        };
        let is_head = req.method() == Method::HEAD;
        let rule = ReuseRule { max_idle: IDLE_TIMEOUT, request_id: None };
        match self.pool.send(req, rule).await {
            Ok((connection, response)) => self.read_answer(connection, response, is_head).await,
            Err(SendError::Lost(err)) if err.is_parse() => RunResult::Truncated,
            Err(err) => {
                log::debug!("run failed attempt={attempt} reason={:?}", err.to_string());
                match err {
                    SendError::Lost(_) => RunResult::Crashed,
                    SendError::AtLimit | SendError::Unreachable(_) => RunResult::Unreachable,
                }
            }
        }
    }

    fn http_request(&self, req: TargetRequest) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::new(Full::new(req.body));
        *request.method_mut() = Method::from_bytes(req.method.as_bytes())?;
        *request.uri_mut() = req.path.parse::<Uri>()?;
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::try_from(self.target().to_string())?);
        for (name, value) in &req.headers {
            headers.append(HeaderName::try_from(name)?, HeaderValue::try_from(value)?);
        }
        headers.insert(CALL_HEADER, HeaderValue::try_from(req.attempt.to_string())?);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(req.time_left.as_millis() as u64));
        Ok(request)
    }

    async fn read_answer(
        &self,
        mut connection: TargetConnection,
        response: Response<Incoming>,
        is_head: bool,
    ) -> RunResult {
        let (parts, body) = response.into_parts();
        let status = parts.status;
        if !is_final_status(status.as_u16()) {
            return RunResult::Truncated;
        }
        if !is_head && !has_no_body(status) && !has_stated_end(&parts.headers) {
            // Such a body ends with the connection, so a truncated one cannot be told from a
            // complete one.
            return RunResult::Truncated;
        }
        let body = match connection.read_body(body, &self.memory).await {
            Ok(body) => body,
            Err(err) => return unread_answer(&err),
        };
        if connection.finish_exchange(&parts.headers) {
            self.pool.keep(connection);
        }
        let headers = answer_headers(&parts.headers);
        RunResult::Answered { status: status.as_u16(), headers, body }
    }
}

/// Result of a run whose answer was not read to its end.
fn unread_answer(err: &BodyError) -> RunResult {
    match err {
        BodyError::Broken(_) => RunResult::Truncated,
        BodyError::TooLong(_) => RunResult::TooLarge,
        BodyError::Memory(_) => {
            log::warn!("answer of the target not read reason={:?}", err.to_string());
            RunResult::TooLarge
        }
    }
}

/// Whether an answer says where its body ends.
fn has_stated_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn answer_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let headers = headers.iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    let text = headers.filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    text.map(|(name, value)| (name.to_string(), value.to_owned())).collect()
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}
