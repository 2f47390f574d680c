use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::CallId;
use pollenlever_core::policy::{Call, Event};
use rocket::data::Data;
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, Response};
use tokio::sync::oneshot::Receiver;

use super::EntryState;
use super::answer_response::{answer_response, error_response, queue_full_response};
use super::call_guard::CallGuard;
use super::call_headers::CallHeaders;
use super::call_path::CallPath;
use super::header_limit::is_within_header_limit;
use super::read_body::ReadBody;
use crate::node::CallReply;

/// HTTP methods that callers may use.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// HTTP handler of calls.
#[derive(Clone)]
struct CallHandler {
    state: Arc<EntryState>,
}

/// Routes of calls: `/call/<service>/<path..>` with each of [`METHODS`].
pub(super) fn call_routes(state: &Arc<EntryState>) -> Vec<Route> {
    let route = |method| {
        let handler = CallHandler { state: Arc::clone(state) };
        Route::new(method, "/call/<path..>", handler)
    };
    METHODS.into_iter().map(route).collect()
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let _in_flight_work = self.state.in_flight_work.start();
        let response = match self.state.handle_call(req).await {
            Ok(response) => response,
            Err(kind) => error_response(kind),
        };
        Outcome::Success(response)
    }
}

impl EntryState {
    /// Reads a call, sends it to the decision thread and waits for its answer.
    async fn handle_call(
        self: &Arc<EntryState>,
        req: &Request<'_>,
    ) -> Result<Response<'static>, ErrorKind> {
        let call = self.read_call(req)?;
        let is_resend = call.key.is_some() || call.chain.is_some();
        let (id, reply) = self.calls.register();
        if self.events.push(Event::Call(id, call)).is_err() {
            self.calls.remove(id);
            self.telemetry.record_event("event_ring_full");
            return Ok(queue_full_response(is_resend));
        }
        if let Some(caller) = req.remote() {
            self.disconnects.add(id, caller);
        }
        match self.wait_for_reply(id, reply).await? {
            CallReply::Answer(chain, answer, body) => Ok(answer_response(chain, answer, body)),
            CallReply::Keys(_) => Err(ErrorKind::Internal),
        }
    }

    /// Waits for the reply to a call that was sent to the decision thread. If the returned future
    /// is dropped first, the call is reported as cancelled.
    pub(super) async fn wait_for_reply(
        self: &Arc<EntryState>,
        id: CallId,
        reply: Receiver<CallReply>,
    ) -> Result<CallReply, ErrorKind> {
        let _guard = CallGuard::new(Arc::clone(self), id);
        reply.await.map_err(|_| ErrorKind::Internal)
    }

    fn read_call(&self, req: &Request<'_>) -> Result<Call, ErrorKind> {
        if !is_within_header_limit(req.headers(), self.max_header_bytes) {
            return Err(ErrorKind::HeaderTooLarge);
        }
        let uri = req.uri().to_string();
        let path = CallPath::parse(&uri).ok_or(ErrorKind::MalformedRequest)?;
        let headers = CallHeaders::parse(req.headers())?;
        let is_resend = headers.key.is_some() || headers.chain.is_some();
        let body = self.read_body(req).map_err(|err| match err {
            // An earlier send may have run.
            ErrorKind::QueueFull if is_resend => ErrorKind::OutcomeUnknown,
            err => err,
        })?;
        Ok(Call {
            service: path.service.into(),
            method: req.method().as_str().to_owned(),
            path: path.path.to_owned(),
            headers: headers.forwarded,
            body,
            workspace: headers.workspace,
            key: headers.key,
            chain: headers.chain,
            parent: headers.parent,
            timeout: headers.timeout,
        })
    }

    /// The body of a request, which has been read.
    ///
    /// # Errors
    ///
    /// The kind of error to answer the request with if it could not be read.
    pub(super) fn read_body(&self, req: &Request<'_>) -> Result<Bytes, ErrorKind> {
        req.local_cache(|| ReadBody(Err(ErrorKind::Internal))).0.clone()
    }
}
