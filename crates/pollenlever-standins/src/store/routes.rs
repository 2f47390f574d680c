use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::response::Responder;
use rocket::serde::Serialize;
use rocket::serde::json::Json;
use rocket::{Data, Request, Response, Route, State, get, post, put, routes};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::lost_answer::LostAnswer;
use super::shared::Shared;
use super::{Counters, Faults, StoreSettings, StoredObject};

type SharedState = State<Arc<Shared>>;

/// Answer to a call.
enum Reply {
    Json(Status, String),
    /// The connection fails before the answer is complete.
    Lost,
}

impl Reply {
    fn ok(value: &impl Serialize) -> Reply {
        Reply::new(Status::Ok, value)
    }

    fn new(status: Status, value: &impl Serialize) -> Reply {
        match serde_json::to_string(value) {
            Ok(text) => Reply::Json(status, text),
            Err(err) => Reply::error(Status::InternalServerError, &err.to_string()),
        }
    }

    fn error(status: Status, reason: &str) -> Reply {
        Reply::Json(status, json!({ "error": reason }).to_string())
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _req: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.header(ContentType::JSON);
        match self {
            Reply::Json(status, text) => {
                response.status(status).sized_body(text.len(), Cursor::new(text));
            }
            Reply::Lost => {
                response.sized_body(LostAnswer::CLAIMED_BYTES, LostAnswer);
            }
        }
        response.ok()
    }
}

/// Expected version from the `If-Match` header; `None` if it is missing or not a number.
struct IfMatch(Option<u64>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IfMatch {
    type Error = std::convert::Infallible;

    async fn from_request(req: &'r Request<'_>) -> Outcome<IfMatch, Self::Error> {
        let text = req.headers().get_one("if-match");
        let version = text.and_then(|it| it.trim_matches('"').parse().ok());
        Outcome::Success(IfMatch(version))
    }
}

pub(crate) fn routes() -> Vec<Route> {
    routes![get_object, put_object, list_objects, watch_objects, set_faults, counters]
}

#[get("/v1/objects/<kind>/<name>")]
async fn get_object(shared: &SharedState, kind: &str, name: &str) -> Reply {
    shared.lock().counters.gets += 1;
    if let Err(reply) = admit_read(shared).await {
        return reply;
    }
    let mut state = shared.lock();
    match state.get(kind, name) {
        Some(object) => record_value_bytes(&mut state.counters, Reply::ok(&object)),
        None => Reply::new(Status::NotFound, &StoredObject::default()),
    }
}

#[get("/v1/objects/<kind>")]
async fn list_objects(shared: &SharedState, kind: &str) -> Reply {
    shared.lock().counters.lists += 1;
    if let Err(reply) = admit_read(shared).await {
        return reply;
    }
    let mut state = shared.lock();
    let list = state.list(kind, 0);
    record_value_bytes(&mut state.counters, Reply::ok(&list))
}

#[put("/v1/objects/<kind>/<name>", data = "<data>")]
async fn put_object(
    shared: &SharedState,
    cfg: &State<StoreSettings>,
    kind: &str,
    name: &str,
    expected: IfMatch,
    data: Data<'_>,
) -> Reply {
    shared.lock().counters.puts += 1;
    if let Err(reply) = admit_write(shared).await {
        return reply;
    }
    let Some(expected) = expected.0 else {
        return Reply::error(Status::PreconditionRequired, "If-Match needs a version");
    };
    let body = match data.open(cfg.max_value_bytes.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) => return Reply::error(Status::PayloadTooLarge, "the value is over the limit"),
        Err(err) => return Reply::error(Status::BadRequest, &err.to_string()),
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return Reply::error(Status::BadRequest, "the value is not JSON");
    };
    let mut state = shared.lock();
    state.counters.value_bytes += body.len() as u64;
    match state.put(kind, name, expected, value) {
        Err(current) => Reply::new(Status::PreconditionFailed, &current),
        Ok(version) => {
            let lost = state.take_lost_answer();
            drop(state);
            shared.notify();
            if lost { Reply::Lost } else { Reply::ok(&json!({ "version": version })) }
        }
    }
}

#[get("/v1/watch/<kind>?<since>&<timeout_ms>")]
async fn watch_objects(
    shared: &SharedState,
    cfg: &State<StoreSettings>,
    kind: &str,
    since: u64,
    timeout_ms: u64,
) -> Reply {
    shared.lock().counters.watches += 1;
    if let Err(reply) = admit_read(shared).await {
        return reply;
    }
    let wait = Duration::from_millis(timeout_ms.min(cfg.max_watch_ms));
    let deadline = Instant::now() + wait;
    let mut changed = shared.subscribe();
    loop {
        {
            let mut state = shared.lock();
            if state.faults.down {
                return down_reply();
            }
            if state.has_changed(kind, since) || Instant::now() >= deadline {
                let list = state.list(kind, since);
                return record_value_bytes(&mut state.counters, Reply::ok(&list));
            }
        }
        let _ = timeout_at(deadline, changed.changed()).await;
    }
}

#[post("/v1/faults", data = "<faults>")]
async fn set_faults(shared: &SharedState, faults: Json<Faults>) -> Reply {
    shared.lock().set_faults(faults.into_inner());
    shared.notify();
    Reply::ok(&shared.lock().faults)
}

#[get("/v1/counters")]
async fn counters(shared: &SharedState) -> Json<Counters> {
    Json(shared.lock().counters)
}

async fn admit_read(shared: &SharedState) -> Result<(), Reply> {
    if !shared.lock().admit_read() {
        return Err(limited_reply());
    }
    apply_faults(shared).await
}

async fn admit_write(shared: &SharedState) -> Result<(), Reply> {
    if !shared.lock().admit_write() {
        return Err(limited_reply());
    }
    apply_faults(shared).await
}

/// Delays a call or fails it, as the injected faults demand.
async fn apply_faults(shared: &SharedState) -> Result<(), Reply> {
    let slow_ms = shared.lock().faults.slow_ms;
    if slow_ms > 0 {
        sleep(Duration::from_millis(slow_ms)).await;
    }
    if shared.lock().faults.down { Err(down_reply()) } else { Ok(()) }
}

fn down_reply() -> Reply {
    Reply::error(Status::ServiceUnavailable, "the store is down")
}

fn limited_reply() -> Reply {
    Reply::error(Status::TooManyRequests, "over the rate limit")
}

fn record_value_bytes(counters: &mut Counters, reply: Reply) -> Reply {
    if let Reply::Json(_, text) = &reply {
        counters.value_bytes += text.len() as u64;
    }
    reply
}
