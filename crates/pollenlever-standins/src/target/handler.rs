use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, Response};

use super::state::State;
use super::{DownstreamCall, answer_line};

/// Longest request body that a target reads; the rest is ignored.
const MAX_BODY_MIB: u64 = 4;
/// A request whose path contains this text crashes the target that runs it.
const CRASH_MARK: &str = "poison";

/// Serves every path, for the methods GET, POST, PUT, DELETE and PATCH.
#[derive(Clone)]
pub(super) struct TargetHandler(pub(super) Arc<State>);

/// Owned copy of the parts of a request that a target uses.
struct TargetRequest {
    method: String,
    path: String,
    call: String,
    workspace: String,
    body: Vec<u8>,
}

#[rocket::async_trait]
impl Handler for TargetHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
        let body = body.map(|it| it.into_inner()).unwrap_or_default();
        let header = |name| req.headers().get_one(name).unwrap_or("-").to_owned();
        let target_req = TargetRequest {
            method: req.method().to_string(),
            path: req.uri().to_string(),
            call: header("pollenlever-call"),
            workspace: header("pollenlever-customer"),
            body,
        };
        // A separate task, so that a run that has started continues when the caller disconnects.
        let state = Arc::clone(&self.0);
        let result = tokio::spawn(async move { serve(&state, target_req).await }).await;
        let (status, text) = result.unwrap_or((500, "target failed\n".to_owned()));
        let mut res = Response::new();
        res.set_status(Status::new(status));
        if status == 200 && self.0.should_truncate_next_answer() {
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            res.set_sized_body(text.len(), std::io::Cursor::new(half));
        } else {
            res.set_sized_body(text.len(), std::io::Cursor::new(text));
        }
        Outcome::Success(res)
    }
}

impl From<TargetHandler> for Vec<Route> {
    fn from(handler: TargetHandler) -> Vec<Route> {
        let methods = [Method::Get, Method::Post, Method::Put, Method::Delete, Method::Patch];
        methods.into_iter().map(|it| Route::new(it, "/<path..>", handler.clone())).collect()
    }
}

async fn serve(state: &State, target_req: TargetRequest) -> (u16, String) {
    let in_flight = state.in_flight.fetch_add(1, Ordering::Relaxed);
    let result = if in_flight >= state.options.connections {
        (503, "shed\n".to_owned())
    } else {
        run_request(state, &target_req).await
    };
    state.in_flight.fetch_sub(1, Ordering::Relaxed);
    result
}

async fn run_request(state: &State, target_req: &TargetRequest) -> (u16, String) {
    let Ok(_slot) = state.slots.acquire().await else { return (503, "closed\n".to_owned()) };
    state.log.append("start", &target_req.call, &target_req.method, &target_req.path);
    if target_req.path.contains(CRASH_MARK) {
        std::process::abort();
    }
    tokio::time::sleep(state.service_time()).await;
    let mut text =
        answer_line(&state.options.service, &target_req.method, &target_req.path, &target_req.body);
    for call in &state.options.calls {
        match call_downstream(state, call, target_req).await {
            Ok(answer) => text.push_str(&answer),
            Err((status, error)) => return (status, error),
        }
    }
    state.log.append("end", &target_req.call, &target_req.method, &target_req.path);
    (200, text)
}

/// Makes a downstream call through the node, with immediate retries if it fails.
async fn call_downstream(
    state: &State,
    call: &DownstreamCall,
    target_req: &TargetRequest,
) -> Result<String, (u16, String)> {
    let mut last = (502, String::new());
    for _ in 0..=state.options.retries {
        match send_downstream(state, call, target_req).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => last = failure,
        }
    }
    Err(last)
}

async fn send_downstream(
    state: &State,
    call: &DownstreamCall,
    target_req: &TargetRequest,
) -> Result<String, (u16, String)> {
    let query = target_req.path.split_once('?').map_or("", |(_, query)| query);
    let url = format!("http://{}/call/{}?{query}", state.options.node, call.path);
    let method = call.method.parse().unwrap_or(reqwest::Method::GET);
    let sent = state
        .client
        .request(method, url)
        .header("pollenlever-call", &target_req.call)
        .header("pollenlever-customer", &target_req.workspace)
        .timeout(Duration::from_secs(10))
        .body(target_req.body.clone())
        .send()
        .await;
    let res = sent.map_err(|err| (502, format!("{err}\n")))?;
    let status = res.status().as_u16();
    let text = res.text().await.map_err(|err| (502, format!("{err}\n")))?;
    if status == 200 { Ok(text) } else { Err((status, text)) }
}
