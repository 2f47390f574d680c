use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use pollenlever_core::id::AttemptId;
use pollenlever_core::policy::RunResult;
use reqwest::{Client, Method, Response, StatusCode};

use super::headers::is_end_to_end;

/// Header that names the attempt; the target copies it to the calls that it makes.
const CALL_HEADER: &str = "pollenlever-call";
/// Header with the time left, in milliseconds.
const DEADLINE_HEADER: &str = "pollenlever-deadline-ms";
/// Time after which an unused connection to the target is closed; shorter than the usual
/// keep-alive of servers, so that no request meets a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a new connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for the target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Runs requests on the target beside this node.
#[derive(Debug, Clone)]
pub struct TargetClient {
    client: Client,
    target: SocketAddr,
    max_body_bytes: usize,
}

impl TargetClient {
    /// Client of the target at `target`.
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
        Ok(TargetClient { client, target, max_body_bytes })
    }

    /// Address of the target.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Runs `req` and reads the whole answer.
    pub async fn run(&self, req: TargetRequest) -> RunResult {
        let time_left = req.time_left;
        match tokio::time::timeout(time_left, self.run_unbounded(req)).await {
            Ok(result) => result,
            Err(_) => RunResult::TimedOut,
        }
    }

    async fn run_unbounded(&self, req: TargetRequest) -> RunResult {
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
            Err(err) => {
                log::debug!("run failed attempt={} reason={err:?}", req.attempt);
                RunResult::Crashed
            }
        }
    }

    async fn read_answer(&self, mut response: Response, is_head: bool) -> RunResult {
        let status = response.status();
        let headers = answer_headers(&response);
        if is_head || has_no_body(status) {
            return RunResult::Answered { status: status.as_u16(), headers, body: Bytes::new() };
        }
        let declared = response.headers().get(CONTENT_LENGTH);
        let declared = declared.and_then(|it| it.to_str().ok()?.parse::<usize>().ok());
        let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
        if declared.is_none() && !is_chunked {
            // The end of such a body is the end of the connection, so a cut cannot be seen.
            return RunResult::Cut;
        }
        if declared.is_some_and(|it| it > self.max_body_bytes) {
            return RunResult::TooLarge;
        }
        let mut body = BytesMut::with_capacity(declared.unwrap_or_default());
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() > self.max_body_bytes => {
                    return RunResult::TooLarge;
                }
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(_) => return RunResult::Cut,
            }
        }
        if declared.is_some_and(|it| it != body.len()) {
            return RunResult::Cut;
        }
        RunResult::Answered { status: status.as_u16(), headers, body: body.freeze() }
    }
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
