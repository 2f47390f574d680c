//! A backend deregisters, which its node confirms. The node's process is killed and starts again
//! while the store turns that machine away. A late heartbeat of the backend must not bring it back.

#[path = "../standins/common.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::*;

/// `drain_s` and `stability_window_s` of the small deployments.
const DRAIN_S: f64 = 2.5;
const STABILITY_S: f64 = 3.0;
/// Seconds after the confirmation. The store turns the machine away from 1 s before it, for 9 s in
/// all: `platform_down` `nodes busy` of the site file.
const BUSY_BEFORE_S: f64 = 1.0;
const BUSY_S: f64 = 9.0;
const KILL_S: f64 = 0.7;
const DOWN_S: f64 = 0.5;
/// When the heartbeat arrives that the backend had sent before it deregistered.
const LATE_BEAT_S: f64 = 3.5;
/// The backend serves on: `scale_in` `stay` of the site file.
const STAY_S: f64 = 15.0;
const WORK_MS: u64 = 150;

fn main() {
    let trouble = trouble();
    let record = Record::create();
    let folder = new_folder("4");
    let store = Store::new(&record);
    let routes = [Route {
        host: "crew.example",
        prefix: "/crew/",
        kind: "non_idempotent",
        service: "dispatch",
        timeout_s: 1.2,
    }];
    store.put("config", "main", &config(7, &routes, &["jobsheets", "dispatch"]));
    let doors = ["n1", "n2", "n3"].map(|it| store.door(it));
    let nodes = [
        Node::start(&record, &folder, "n1", "hafnarfj", "jobsheets", &doors[0]),
        Node::start(&record, &folder, "n2", "hafnarfj", "dispatch", &doors[1]),
        Node::start(&record, &folder, "n3", "keflav", "dispatch", &doors[2]),
    ];
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
    thread::sleep(ms(4000));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (record, stop, addr) = (record.clone(), Arc::clone(&stop), nodes[0].outbound);
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client}n{number:04}");
                    let headers = [
                        ("Host", "crew.example"),
                        ("Request-Id", &*id),
                        ("Deadline-Ms", "6000"),
                        ("Connection", "close"),
                    ];
                    record.line(&format!("client: {id} sent"));
                    let answer =
                        call(addr, "POST", &format!("/crew/{id}"), &headers, b"x", ms(6000));
                    record
                        .line(&format!("client: {id} answered {:?}", answer.map(|it| it.status())));
                    thread::sleep(ms(60));
                }
            })
        })
        .collect();
    record.say("traffic begins");
    thread::sleep(ms(2000));
    // A heartbeat that the backend sends now and that arrives late.
    let late_beat = backends[1].beat_body("ready");
    if trouble {
        doors[1].busy.store(true, Ordering::SeqCst);
        record.say("store: turns n2 away");
    }
    let busy_since = record.now();
    record.sleep_until(busy_since + BUSY_BEFORE_S);
    if !backends[1].deregister() {
        give_up("the departure was not confirmed");
    }
    let acked = record.now();
    record.say("backend i-n2: its departure is confirmed by n2");
    let mut started = acked;
    if trouble {
        record.sleep_until(acked + KILL_S);
        record.say("platform: SIGKILL to n2");
        nodes[1].kill();
        record.sleep_until(acked + KILL_S + DOWN_S);
        nodes[1].launch();
        started = record.now();
    }
    record.sleep_until(acked + LATE_BEAT_S);
    let is_taken = backends[1].send_beat(&late_beat);
    record.say(&format!(
        "backend i-n2: a heartbeat sent before the departure arrives late, confirmed: {is_taken}"
    ));
    record.sleep_until(busy_since + BUSY_S);
    doors[1].busy.store(false, Ordering::SeqCst);
    let calm = record.now().max(started) + STABILITY_S;
    record.say("store: serves n2 again");
    record.sleep_until(acked + STAY_S);
    backends[1].gone.store(true, Ordering::SeqCst);
    let exited = record.now();
    record.say("backend i-n2: exits");
    thread::sleep(ms(1500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // DRAIN as written: requests that reach the backend later than `drain_s` after the confirmation,
    // sent while all machines are in touch.
    let reached = |from: f64| {
        runs.all()
            .iter()
            .filter(|it| it.backend == "i-n2" && it.start > from && it.start < exited)
            .count()
    };
    let late = reached(acked + DRAIN_S);
    let in_touch = reached(calm.max(acked + DRAIN_S));
    let cut = runs
        .all()
        .iter()
        .filter(|it| it.backend == "i-n2" && it.start > calm && it.end.is_none())
        .count();
    let all = runs.all().len();
    record.say(&format!(
        "{all} runs; DRAIN: {late} on i-n2 later than {DRAIN_S} s after its departure was confirmed, \
         {in_touch} of them while all machines are in touch; {cut} cut by its exit"
    ));
    nodes.iter().for_each(|it| it.kill());
    let _ = std::fs::remove_dir_all(&folder);
    if all == 0 {
        finish(NOT_RUN);
    }
    finish(if in_touch > 0 { BROKEN } else { HELD });
}
