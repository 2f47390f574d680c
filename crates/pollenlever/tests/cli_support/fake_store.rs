use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::{FakeHttp, Reply, Request};

type Objects = Arc<Mutex<BTreeMap<String, (u64, Value)>>>;

/// The store's services, with conditional updates.
pub(crate) struct FakeStore {
    pub(crate) http: FakeHttp,
    objects: Objects,
    lose_answer: Arc<AtomicBool>,
    race: Arc<AtomicBool>,
}

impl FakeStore {
    pub(crate) fn start() -> FakeStore {
        let objects = Objects::default();
        let lose_answer = Arc::new(AtomicBool::new(false));
        let race = Arc::new(AtomicBool::new(false));
        let (held, lose, raced) = (objects.clone(), lose_answer.clone(), race.clone());
        let http = FakeHttp::start(move |req| match req.method.as_str() {
            "PUT" => {
                if raced.swap(false, Ordering::Relaxed) {
                    let version = held.lock().unwrap().values().map(|it| it.0).max().unwrap_or(0);
                    let other = json!({"submissions": [], "service": "other"});
                    let raced = change_slots(&req.body).unwrap_or(other);
                    held.lock().unwrap().insert(name(req), (version + 1, raced));
                }
                let reply = put(&held, req);
                if lose.swap(false, Ordering::Relaxed) {
                    return Reply { status: None, body: String::new() };
                }
                reply
            }
            _ => get(&held, req),
        });
        FakeStore { http, objects, lose_answer, race }
    }

    /// Versions by service.
    pub(crate) fn versions(&self) -> BTreeMap<String, u64> {
        let objects = self.objects.lock().unwrap();
        objects.iter().map(|(name, (version, _))| (name.clone(), *version)).collect()
    }

    /// A field of a service.
    pub(crate) fn field(&self, service: &str, field: &str) -> Value {
        self.objects.lock().unwrap()[service].1[field].clone()
    }

    /// Lets the next update take effect and loses its answer.
    pub(crate) fn lose_next_answer(&self) {
        self.lose_answer.store(true, Ordering::Relaxed);
    }

    /// Lets another submission with other slots come before the next update.
    pub(crate) fn race_next_update(&self) {
        self.race.store(true, Ordering::Relaxed);
    }
}

/// The submitted value with other slots, under another submission id.
fn change_slots(body: &str) -> Option<Value> {
    let mut value: Value = serde_json::from_str(body).ok()?;
    value["slots"] = json!(99);
    value["submissions"] = json!(["another"]);
    Some(value)
}

fn name(req: &Request) -> String {
    req.path.rsplit('/').next().unwrap().to_owned()
}

fn put(objects: &Objects, req: &Request) -> Reply {
    let mut objects = objects.lock().unwrap();
    let (version, value) = objects.get(&name(req)).cloned().unwrap_or_default();
    if req.if_match != Some(version) {
        let body = json!({"version": version, "value": value}).to_string();
        return Reply { status: Some(412), body };
    }
    let value = serde_json::from_str(&req.body).unwrap();
    objects.insert(name(req), (version + 1, value));
    Reply::ok(json!({"version": version + 1}))
}

fn get(objects: &Objects, req: &Request) -> Reply {
    let objects = objects.lock().unwrap();
    if req.path.ends_with("/services") {
        let list: Vec<Value> = objects
            .iter()
            .map(|(name, (version, value))| json!({"name": name, "version": version, "value": value}))
            .collect();
        return Reply::ok(json!({"revision": 1, "objects": list}));
    }
    match objects.get(&name(req)) {
        Some((version, value)) => Reply::ok(json!({"version": version, "value": value})),
        None => Reply { status: Some(404), body: "{}".to_owned() },
    }
}
