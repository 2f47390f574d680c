use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use pollenlever_core::answer::is_final_status;
use pollenlever_core::mesh::{InstanceId, MeshAttempt};

use super::answer_statement::AnswerStatement;
use super::target_result::TargetResult;
use super::target_run::TargetRun;
use super::{HeaderNames, forwarded_headers};
use crate::bounds::MessageMemory;
use crate::target::{
    BodyError, ConnectionPool, PoolSettings, ReuseRule, SendError, TargetConnection,
};

/// Longest idle time of a connection on which a non-idempotent request is sent: if the target is
/// just closing the connection, the outcome would be unknown.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// Sends requests to the target beside the node and reuses its connections.
#[derive(Debug)]
pub(super) struct TargetClient {
    pool: ConnectionPool,
    names: HeaderNames,
    /// Memory for the bodies of answers.
    memory: MessageMemory,
}

impl TargetClient {
    pub(super) fn new(addr: SocketAddr, names: HeaderNames, memory: MessageMemory) -> TargetClient {
        TargetClient { pool: ConnectionPool::new(addr, PoolSettings::default()), names, memory }
    }

    /// The connections to the target.
    pub(super) fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Runs a request on the target `instance`. Dropping the future closes the connection.
    pub(super) async fn run(
        &self,
        instance: &InstanceId,
        head: &MeshAttempt,
        time_left: Duration,
        body: Bytes,
    ) -> TargetRun {
        let req = match self.request(instance, head, time_left, body) {
            Ok(req) => req,
            Err(reason) => return TargetResult::Unsendable(reason).into(),
        };
        let max_idle = if head.is_idempotent { Duration::MAX } else { MAX_IDLE_NON_IDEMPOTENT };
        let rule = ReuseRule { max_idle, request_id: Some(&head.request_id) };
        match self.pool.send(req, rule).await {
            Ok((connection, response)) => self.read_answer(connection, head, response).await,
            Err(SendError::AtLimit) => TargetResult::NoConnectionLeft.into(),
            Err(SendError::Unreachable(reason)) => TargetResult::Unreachable(reason).into(),
            Err(SendError::Lost(err)) => TargetResult::Unknown(err.to_string()).into(),
        }
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
        if connection.finish_exchange(&parts.headers) {
            self.pool.keep(connection);
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
}

/// Says why an answer could not be read to its end.
fn broken_answer(err: &BodyError) -> String {
    let cause = err.source().map(|it| format!(": {it}")).unwrap_or_default();
    format!("answer truncated: {err}{cause}")
}
