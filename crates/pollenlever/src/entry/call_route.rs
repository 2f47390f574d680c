use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::CallId;
use pollenlever_core::policy::{Call, Event};
use rocket::data::{ByteUnit, Data};
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, Response};
use tokio::sync::oneshot::Receiver;

use super::EntryState;
use super::answer_response::{answer_response, error_response, queue_full_response};
use super::call_guard::CallGuard;
use super::call_headers::CallHeaders;
use super::call_path::CallPath;
use super::header_limit::are_headers_within;
use crate::node::CallReply;

/// Methods that callers may use.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// Takes a call, has it decided and answers it.
#[derive(Clone)]
struct CallHandler {
    state: Arc<EntryState>,
}

/// The routes of calls: any method on `/call/<service>/<path..>`.
pub(super) fn call_routes(state: &Arc<EntryState>) -> Vec<Route> {
    let route = |method| {
        let handler = CallHandler { state: Arc::clone(state) };
        Route::new(method, "/call/<path..>", handler)
    };
    METHODS.into_iter().map(route).collect()
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let _open = self.state.open_work.enter();
        let response = match self.state.take_call(req, data).await {
            Ok(response) => response,
            Err(kind) => error_response(kind),
        };
        Outcome::Success(response)
    }
}

impl EntryState {
    async fn take_call(
        self: &Arc<EntryState>,
        req: &Request<'_>,
        data: Data<'_>,
    ) -> Result<Response<'static>, ErrorKind> {
        let call = self.read_call(req, data).await?;
        let is_resend = call.key.is_some() || call.chain.is_some();
        let (id, reply) = self.calls.register();
        if self.events.push(Event::Call(id, call)).is_err() {
            self.calls.forget(id);
            self.telemetry.count("event_ring_full");
            return Ok(queue_full_response(is_resend));
        }
        if let Some(caller) = req.remote() {
            self.hangups.add(id, caller);
        }
        match self.wait(id, reply).await? {
            CallReply::Answer(chain, answer, body) => Ok(answer_response(chain, answer, body)),
            CallReply::Keys(_) => Err(ErrorKind::Internal),
        }
    }

    /// Waits for the reply to a call that was reported to the decision thread.
    pub(super) async fn wait(
        self: &Arc<EntryState>,
        id: CallId,
        reply: Receiver<CallReply>,
    ) -> Result<CallReply, ErrorKind> {
        let _guard = CallGuard::new(Arc::clone(self), id);
        reply.await.map_err(|_| ErrorKind::Internal)
    }

    async fn read_call(&self, req: &Request<'_>, data: Data<'_>) -> Result<Call, ErrorKind> {
        if !are_headers_within(req.headers(), self.max_header_bytes) {
            return Err(ErrorKind::HeaderTooLarge);
        }
        let uri = req.uri().to_string();
        let path = CallPath::parse(&uri).ok_or(ErrorKind::MalformedRequest)?;
        let headers = CallHeaders::parse(req.headers())?;
        let body = self.read_body(req, data).await?;
        Ok(Call {
            service: path.service.into(),
            method: req.method().as_str().to_owned(),
            path: path.path.to_owned(),
            headers: headers.passed_on,
            body,
            customer: headers.customer,
            key: headers.key,
            chain: headers.chain,
            parent: headers.parent,
            timeout: headers.timeout,
        })
    }

    pub(super) async fn read_body(
        &self,
        req: &Request<'_>,
        data: Data<'_>,
    ) -> Result<Bytes, ErrorKind> {
        let declared = req.headers().get_one("content-length");
        let declared = declared.and_then(|it| it.parse::<usize>().ok());
        if declared.is_some_and(|it| it > self.max_body_bytes) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let limit = ByteUnit::Byte(self.max_body_bytes as u64);
        let body = data.open(limit).into_bytes().await;
        let body = body.map_err(|_| ErrorKind::MalformedRequest)?;
        if !body.is_complete() {
            return Err(ErrorKind::BodyTooLarge);
        }
        if declared.is_some_and(|it| it != body.len()) {
            return Err(ErrorKind::MalformedRequest);
        }
        Ok(Bytes::from(body.into_inner()))
    }
}
