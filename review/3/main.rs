//! The store comes back from a copy that is some seconds old, and the operator writes a new version of
//! the configuration. The nodes must handle requests by it.

#[path = "../standins/common.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::*;

/// `config_s`, `max_skew_s` and `stability_window_s` of the small deployments.
const CONFIG_S: f64 = 2.5;
const MAX_SKEW_S: f64 = 5.0;
const STABILITY_S: f64 = 3.0;
/// Age of the copy, and time for which the store is away.
const COPY_AGE_S: f64 = 5.0;
const AWAY_S: f64 = 3.0;
/// Time for which requests are sent after the last version.
const TRAFFIC_S: f64 = 16.0;
const WORK_MS: u64 = 60;

/// The configuration that sends `/crew/` to a service.
fn version(number: u32, service: &'static str) -> String {
    let kind = "non_idempotent";
    let routes = [Route { host: "crew.example", prefix: "/crew/", kind, service, timeout_s: 1.2 }];
    config(number, &routes, &["jobsheets", "dispatch", "purchasing"])
}

fn main() {
    let trouble = trouble();
    let record = Record::create();
    let folder = new_folder("3");
    let store = Store::new(&record);
    store.put("config", "main", &version(7, "dispatch"));
    let places = [
        ("n1", "hafnarfj", "jobsheets"),
        ("n2", "hafnarfj", "dispatch"),
        ("n3", "keflav", "purchasing"),
        ("n4", "keflav", "dispatch"),
    ];
    let nodes: Vec<Arc<Node>> = places
        .iter()
        .map(|it| Node::start(&record, &folder, it.0, it.1, it.2, &store.door(it.0)))
        .collect();
    let runs = Runs::default();
    let backends: Vec<_> = nodes
        .iter()
        .map(|it| {
            let instance = format!("i-{}", it.name);
            Backend::start(&record, &runs, it, &instance, |_| Act::Run(ms(WORK_MS)), |_| false)
        })
        .collect();
    if !wait_for("all nodes ready", 20, || nodes.iter().all(|it| it.is_ready())) {
        finish(NOT_RUN);
    }
    thread::sleep(ms(6000));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (record, stop, addr) = (record.clone(), Arc::clone(&stop), nodes[0].outbound);
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("c{client}n{:04}", sent.len());
                    let headers = [
                        ("Host", "crew.example"),
                        ("Request-Id", &*id),
                        ("Deadline-Ms", "6000"),
                        ("Connection", "close"),
                    ];
                    let at = record.now();
                    record.line(&format!("client: {id} sent"));
                    let path = format!("/crew/{id}");
                    let answer = call(addr, "POST", &path, &headers, b"x", ms(6000));
                    let status = answer.map(|it| it.status());
                    record.line(&format!("client: {id} answered {status:?}"));
                    sent.push((id.clone(), at));
                    thread::sleep(ms(60));
                }
                sent
            })
        })
        .collect();
    record.say("traffic begins");
    thread::sleep(ms(1000));
    // The copy from which the store comes back. After it a backend leaves, which the node beside it
    // stores.
    let copied = record.now();
    let copy = store.copy();
    record.say(&format!("store: a copy is made at revision {}", store.revision()));
    thread::sleep(ms(1000));
    backends[3].beats.store(false, Ordering::SeqCst);
    let draining = backends[3].beat_body("draining");
    if !backends[3].send_beat(&draining) {
        give_up("the leaving was not confirmed");
    }
    record.say("backend i-n4: its leaving is confirmed");
    record.sleep_until(copied + COPY_AGE_S);
    let lost = store.revision();
    if trouble {
        store.go_away();
        record.say(&format!("store: away, at revision {lost}"));
        record.sleep_until(copied + COPY_AGE_S + AWAY_S);
        store.come_back(copy);
        let revision = store.revision();
        record.say(&format!("store: back from the copy, revision {revision}, era {}", store.era()));
    }
    // The write of the operator has waited for the store and is the first one.
    store.put("config", "main", &version(8, "purchasing"));
    let confirmed = record.now();
    record.say(&format!("operator: version 8, revision {}", store.revision()));
    record.sleep_until(confirmed + TRAFFIC_S);
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<(String, f64)> =
        clients.into_iter().filter_map(|it| it.join().ok()).flatten().collect();
    // CONFIG as written: sent later than `config_s` after the confirmation, stretched by `max_skew_s`, and
    // with a core that has been stable for `stability_window_s`.
    let from = confirmed + (CONFIG_S + MAX_SKEW_S).max(STABILITY_S);
    let runs = runs.all();
    let service_of = |id: &str| {
        let run = runs.iter().find(|it| it.id == id)?;
        Some(if run.backend == "i-n3" { "purchasing" } else { "dispatch" })
    };
    let late: Vec<_> = sent.iter().filter(|it| it.1 > from).collect();
    let by = |service| late.iter().filter(|it| service_of(&it.0) == Some(service)).count();
    record.say(&format!(
        "{} requests sent later than {:.1} s after version 8: {} run by dispatch, as only version 7 \
         allows, {} by purchasing",
        late.len(),
        from - confirmed,
        by("dispatch"),
        by("purchasing")
    ));
    let code = match (by("dispatch"), by("purchasing")) {
        (0, 0) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    };
    nodes.iter().for_each(|it| it.kill());
    let _ = std::fs::remove_dir_all(&folder);
    finish(code);
}
