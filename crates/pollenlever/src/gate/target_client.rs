use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use pollenlever_core::answer::is_final_status;
use pollenlever_core::id::AttemptId;
use pollenlever_core::memory::MessageKind;
use pollenlever_core::policy::RunResult;
use reqwest::{Client, Method, Response, StatusCode};

use super::headers::is_end_to_end;
use crate::bounds::{CountedBody, MemoryError, MessageMemory};

/// Header with the id of the attempt. The target copies it to the calls that it makes, so that
/// these are linked to the attempt.
const CALL_HEADER: &str = "pollenlever-call";
/// Header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "pollenlever-deadline-ms";
/// Time after which an idle connection to the target is closed. Shorter than the usual keep-alive
/// timeout of servers, so that no request is sent on a connection that the target is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a new connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for more memory while an answer is read.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(5);

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
    client: Client,
    target: SocketAddr,
    max_body_bytes: usize,
    memory: MessageMemory,
}

impl TargetClient {
    /// Creates a client for the target at `target`. An answer with a body of more than
    /// `max_body_bytes` is reported as [`RunResult::TooLarge`].
    ///
    /// # Errors
    ///
    /// [`reqwest::Error`] if the HTTP client cannot be set up.
    ///
    /// ```
    /// let target = "127.0.0.1:7200".parse().unwrap();
    /// assert!(pollenlever::gate::TargetClient::new(target, 1 << 20).is_ok());
    /// ```
    pub fn new(target: SocketAddr, max_body_bytes: usize) -> Result<TargetClient, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()?;
        Ok(TargetClient { client, target, max_body_bytes, memory: MessageMemory::default() })
    }

    /// Takes the memory for the bodies of answers from `memory`.
    pub fn with_memory(self, memory: MessageMemory) -> TargetClient {
        TargetClient { memory, ..self }
    }

    /// Address of the target.
    pub fn target(&self) -> SocketAddr {
        self.target
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
        let Ok(method) = Method::from_bytes(req.method.as_bytes()) else {
            return RunResult::Unreachable;
        };
        let is_head = method == Method::HEAD;
        let url = format!("http://{}{}", self.target, req.path);
        let mut builder = self.client.request(method, url).body(req.body);
        for (name, value) in &req.headers {
            builder = builder.header(name, value);
        }
        builder = builder.header(CALL_HEADER, req.attempt.to_string());
        builder = builder.header(DEADLINE_HEADER, req.time_left.as_millis().to_string());
        match builder.send().await {
            Ok(response) => self.read_answer(response, is_head).await,
            Err(err) if err.is_connect() || err.is_builder() => RunResult::Unreachable,
            Err(err) if is_malformed(&err) => RunResult::Truncated,
            Err(err) => {
                log::debug!("run failed attempt={} reason={err:?}", req.attempt);
                RunResult::Crashed
            }
        }
    }

    async fn read_answer(&self, mut response: Response, is_head: bool) -> RunResult {
        let status = response.status();
        if !is_final_status(status.as_u16()) {
            return RunResult::Truncated;
        }
        let headers = answer_headers(&response);
        if is_head || has_no_body(status) {
            return RunResult::Answered { status: status.as_u16(), headers, body: Bytes::new() };
        }
        let declared_len = response.headers().get(CONTENT_LENGTH);
        let declared_len = declared_len.and_then(|it| it.to_str().ok()?.parse::<usize>().ok());
        let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
        if declared_len.is_none() && !is_chunked {
            // Such a body ends with the connection, so a truncated one cannot be told from a
            // complete one.
            return RunResult::Truncated;
        }
        if declared_len.is_some_and(|it| it > self.max_body_bytes) {
            return RunResult::TooLarge;
        }
        match self.read_body(&mut response, declared_len).await {
            Ok(body) => RunResult::Answered { status: status.as_u16(), headers, body },
            Err(result) => result,
        }
    }

    /// Reads the body of an answer, which takes its memory before. The target is not read while it waits.
    async fn read_body(
        &self,
        response: &mut Response,
        declared_len: Option<usize>,
    ) -> Result<Bytes, RunResult> {
        let kind = MessageKind::TargetAnswer;
        let started = CountedBody::start(&self.memory, kind, declared_len, MAX_MEMORY_WAIT).await;
        let mut body = started.map_err(no_memory)?;
        while let Some(chunk) = response.chunk().await.map_err(|_| RunResult::Truncated)? {
            if body.len() + chunk.len() > self.max_body_bytes {
                return Err(RunResult::TooLarge);
            }
            body.push(&chunk, self.max_body_bytes).await.map_err(no_memory)?;
        }
        if declared_len.is_some_and(|it| it != body.len()) {
            return Err(RunResult::Truncated);
        }
        Ok(body.finish())
    }
}

/// Whether the target sent something that is no answer, which is no crash.
fn is_malformed(err: &reqwest::Error) -> bool {
    let mut cause = err.source();
    while let Some(err) = cause {
        if err.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse) {
            return true;
        }
        cause = err.source();
    }
    false
}

/// Result of a run whose answer got no memory.
fn no_memory(err: MemoryError) -> RunResult {
    log::warn!("answer of the target not read reason={:?}", err.to_string());
    RunResult::TooLarge
}

fn answer_headers(response: &Response) -> Vec<(String, String)> {
    let headers = response.headers().iter();
    let headers = headers.filter(|(name, _)| is_end_to_end(name.as_str()));
    let text = headers.filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    text.map(|(name, value)| (name.to_string(), value.to_owned())).collect()
}

fn has_no_body(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
