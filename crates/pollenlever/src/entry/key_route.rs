use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::{Answer, ErrorKind};
use pollenlever_core::policy::Event;
use rocket::data::Data;
use rocket::http::{ContentType, Method};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, Response};
use serde::{Deserialize, Serialize};

use super::EntryState;
use super::answer_response::{answer_response, error_response};
use crate::node::CallReply;

/// Maximum number of keys that one request can ask for.
const MAX_KEYS_PER_REQUEST: u32 = 10_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysRequest {
    count: u32,
}

#[derive(Debug, Serialize)]
struct KeysResponse {
    keys: Vec<String>,
}

/// HTTP handler that issues request keys to callers.
#[derive(Clone)]
struct KeyHandler {
    state: Arc<EntryState>,
}

/// The route `POST /pollenlever/v1/keys`.
pub(super) fn key_route(state: &Arc<EntryState>) -> Route {
    let handler = KeyHandler { state: Arc::clone(state) };
    Route::new(Method::Post, "/pollenlever/v1/keys", handler)
}

#[rocket::async_trait]
impl Handler for KeyHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let _in_flight_work = self.state.in_flight_work.start();
        let response = match self.state.issue_keys(req).await {
            Ok(response) => response,
            Err(kind) => error_response(kind),
        };
        Outcome::Success(response)
    }
}

impl EntryState {
    async fn issue_keys(
        self: &Arc<EntryState>,
        req: &Request<'_>,
    ) -> Result<Response<'static>, ErrorKind> {
        let body = self.read_body(req)?;
        let request: KeysRequest =
            serde_json::from_slice(&body).map_err(|_| ErrorKind::MalformedRequest)?;
        if request.count == 0 || request.count > MAX_KEYS_PER_REQUEST {
            return Err(ErrorKind::MalformedRequest);
        }
        let (call, reply) = self.calls.register();
        if self.events.push(Event::IssueKeys { call, count: request.count }).is_err() {
            self.calls.remove(call);
            return Err(ErrorKind::QueueFull);
        }
        match self.wait_for_reply(call, reply).await? {
            CallReply::Keys(keys) => {
                let keys = keys.iter().map(ToString::to_string).collect();
                let json = serde_json::to_vec(&KeysResponse { keys });
                let json = json.map_err(|_| ErrorKind::Internal)?;
                let headers = vec![("content-type".to_owned(), ContentType::JSON.to_string())];
                Ok(answer_response(None, Answer::from_target(200, headers), Bytes::from(json)))
            }
            CallReply::Answer(chain, answer, body) => Ok(answer_response(chain, answer, body)),
        }
    }
}
