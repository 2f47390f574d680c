use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::{FakeHttp, Reply, Request};

/// Version and value of each object, by name.
type Objects = Arc<Mutex<BTreeMap<String, (u64, Value)>>>;

/// A fake store with the objects of services and conditional updates.
pub(crate) struct FakeStore {
    pub(crate) http: FakeHttp,
    objects: Objects,
    lose_next_response: Arc<AtomicBool>,
    race_next_update: Arc<AtomicBool>,
}

impl FakeStore {
    pub(crate) fn start() -> FakeStore {
        let objects = Objects::default();
        let lose_next_response = Arc::new(AtomicBool::new(false));
        let race_next_update = Arc::new(AtomicBool::new(false));
        let (stored, lose, race) =
            (objects.clone(), lose_next_response.clone(), race_next_update.clone());
        let http = FakeHttp::start(move |req| match req.method.as_str() {
            "PUT" => {
                if race.swap(false, Ordering::Relaxed) {
                    let version = stored.lock().unwrap().values().map(|it| it.0).max().unwrap_or(0);
                    let other = json!({"submissions": [], "service": "other"});
                    let competing = change_slots(&req.body).unwrap_or(other);
                    stored.lock().unwrap().insert(object_name(req), (version + 1, competing));
                }
                let reply = put(&stored, req);
                if lose.swap(false, Ordering::Relaxed) {
                    return Reply { status: None, body: String::new() };
                }
                reply
            }
            _ => get(&stored, req),
        });
        FakeStore { http, objects, lose_next_response, race_next_update }
    }

    /// Returns the stored version of each service.
    pub(crate) fn versions(&self) -> BTreeMap<String, u64> {
        let objects = self.objects.lock().unwrap();
        objects.iter().map(|(name, (version, _))| (name.clone(), *version)).collect()
    }

    /// Returns one field of a stored service.
    pub(crate) fn field(&self, service: &str, field: &str) -> Value {
        self.objects.lock().unwrap()[service].1[field].clone()
    }

    /// Makes the next update take effect without a response to the client.
    pub(crate) fn lose_next_response(&self) {
        self.lose_next_response.store(true, Ordering::Relaxed);
    }

    /// Makes a competing submission, which sets other `slots`, take effect before the next update.
    pub(crate) fn race_next_update(&self) {
        self.race_next_update.store(true, Ordering::Relaxed);
    }
}

/// Returns the submitted value with different `slots` and another submission id, or `None` if `body`
/// is not JSON.
fn change_slots(body: &str) -> Option<Value> {
    let mut value: Value = serde_json::from_str(body).ok()?;
    value["slots"] = json!(99);
    value["submissions"] = json!(["another"]);
    Some(value)
}

fn object_name(req: &Request) -> String {
    req.path.rsplit('/').next().unwrap().to_owned()
}

fn put(objects: &Objects, req: &Request) -> Reply {
    let mut objects = objects.lock().unwrap();
    let (version, value) = objects.get(&object_name(req)).cloned().unwrap_or_default();
    if req.if_match != Some(version) {
        let body = json!({"version": version, "value": value}).to_string();
        return Reply { status: Some(412), body };
    }
    let value = serde_json::from_str(&req.body).unwrap();
    objects.insert(object_name(req), (version + 1, value));
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
    match objects.get(&object_name(req)) {
        Some((version, value)) => Reply::ok(json!({"version": version, "value": value})),
        None => Reply { status: Some(404), body: "{}".to_owned() },
    }
}
