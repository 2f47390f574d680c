//! A faulty backend sends late extra answers while backends reject requests. A request that is not
//! idempotent must run once at most, and must not be said not to have run if it has.

#[path = "../standins/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Times in seconds since the traffic began. The days of the site file: `srv_grey` `shed all` lasts
/// 8.5 s with x = 0.55, `garble` `extra late` 5 s with share = 0.6 and x = 0.03.
const SHED: [(f64, f64); 2] = [(2.0, 10.5), (14.0, 22.5)];
const EXTRA: [(f64, f64); 4] = [(2.0, 7.0), (7.0, 10.5), (14.0, 19.0), (19.0, 22.5)];
const SHED_SHARE: f64 = 0.2;
const EXTRA_SHARE: f64 = 0.03;
const TRAFFIC_S: f64 = 26.0;
const CLIENTS: usize = 6;
/// Pause of a client between an answer and its next request.
const PAUSE_MS: u64 = 10;
const WORK_MS: u64 = 30;

fn main() {
    let trouble = trouble();
    let record = Record::create();
    let folder = new_folder("1");
    let store = Store::new(&record);
    let routes = [Route {
        host: "crew.example",
        prefix: "/crew/",
        kind: "non_idempotent",
        service: "dispatch",
        timeout_s: 1.2,
    }];
    store.put("config", "main", &config(7, &routes, &["jobsheets", "dispatch"]));
    let (d1, d2, d3) = (store.door("n1"), store.door("n2"), store.door("n3"));
    let nodes = [
        Node::start(&record, &folder, "n1", "hafnarfj", "jobsheets", &d1),
        Node::start(&record, &folder, "n2", "hafnarfj", "dispatch", &d2),
        Node::start(&record, &folder, "n3", "keflav", "dispatch", &d3),
    ];
    let runs = Runs::default();
    // Set when the traffic begins.
    let began = Arc::new(Mutex::new(f64::MAX));
    let is_in = |spans: &'static [(f64, f64)], record: &Record, began: &Arc<Mutex<f64>>| {
        let at = record.now() - *began.lock().unwrap();
        spans.iter().any(|it| (it.0..it.1).contains(&at))
    };
    let backend = |node: &Node, name: &str, seed: u64, is_garbled: bool| {
        let (r, b) = (record.clone(), Arc::clone(&began));
        let shed = Mutex::new(Rng(seed));
        let decide = move |_: &Msg| {
            let rejects =
                trouble && is_in(&SHED, &r, &b) && shed.lock().unwrap().chance(SHED_SHARE);
            if rejects { Act::Reject } else { Act::Run(ms(WORK_MS)) }
        };
        let (r, b) = (record.clone(), Arc::clone(&began));
        let extra = Mutex::new(Rng(seed ^ 0x5eed));
        let sends_extra = move |_: &[u8]| {
            trouble
                && is_garbled
                && is_in(&EXTRA, &r, &b)
                && extra.lock().unwrap().chance(EXTRA_SHARE)
        };
        Backend::start(&record, &runs, node, name, decide, sends_extra)
    };
    let backends = [
        backend(&nodes[0], "i-js1", 11, false),
        backend(&nodes[1], "i-dp1", 22, true),
        backend(&nodes[2], "i-dp2", 33, false),
    ];
    if !wait_for("all nodes ready", 20, || nodes.iter().all(|it| it.is_ready())) {
        finish(NOT_RUN);
    }
    let is_served = wait_for("a first answer", 10, || {
        let headers = [("Host", "crew.example"), ("Request-Id", "first"), ("Deadline-Ms", "3000")];
        let path = format!("/crew/{}", unix_ms());
        let answer = call(nodes[0].outbound, "POST", &path, &headers, b"x", ms(3000));
        answer.is_some_and(|it| it.status() == 200)
    });
    if !is_served {
        finish(NOT_RUN);
    }
    thread::sleep(ms(1500));
    runs.0.lock().unwrap().clear();
    *began.lock().unwrap() = record.now();
    record.say("traffic begins");
    let ends = Arc::new(Mutex::new(BTreeMap::<String, u16>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, ends, stop) = (record.clone(), Arc::clone(&ends), Arc::clone(&stop));
            let addr = nodes[0].outbound;
            thread::spawn(move || run_client(client, addr, &record, &ends, &stop))
        })
        .collect();
    let end = *began.lock().unwrap() + TRAFFIC_S;
    record.sleep_until(end);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(1500));
    let code = judge(&record, &runs, &ends.lock().unwrap(), &backends);
    let _ = std::fs::remove_dir_all(&folder);
    finish(code);
}

/// Sends one request after another on a kept connection, each with an id of its own.
fn run_client(
    client: usize,
    addr: std::net::SocketAddr,
    record: &Record,
    ends: &Mutex<BTreeMap<String, u16>>,
    stop: &AtomicBool,
) {
    let mut io: Option<(TcpStream, Vec<u8>)> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{client:02}n{number:04}");
        let path = format!("/crew/{id}");
        let headers = [("Host", "crew.example"), ("Request-Id", &*id), ("Deadline-Ms", "6000")];
        let (mut socket, mut buf) = match io.take() {
            Some(it) => it,
            None => match TcpStream::connect_timeout(&addr, ms(1000)) {
                Ok(it) => (it, Vec::new()),
                Err(_) => {
                    thread::sleep(ms(200));
                    continue;
                }
            },
        };
        let _ = socket.set_nodelay(true);
        let _ = socket.set_read_timeout(Some(ms(6000)));
        record.line(&format!("client: {id} sent"));
        let sent = socket.write_all(&request_bytes("POST", &path, &headers, b"send the crew"));
        let answer = sent.ok().and_then(|()| read_msg(&mut socket, &mut buf));
        let status = answer.as_ref().map_or(0, Msg::status);
        record.line(&format!("client: {id} answered {status}"));
        ends.lock().unwrap().insert(id, status);
        if answer.is_some_and(|it| !it.closes()) {
            io = Some((socket, buf));
        }
        thread::sleep(ms(PAUSE_MS));
    }
}

/// Checks TWICE and REFUSED as written.
fn judge(
    record: &Record,
    runs: &Runs,
    ends: &BTreeMap<String, u16>,
    backends: &[Arc<Backend>],
) -> i32 {
    let mut count = BTreeMap::<String, u32>::new();
    for run in runs.all() {
        *count.entry(run.id).or_default() += 1;
    }
    let twice: Vec<_> = count.iter().filter(|it| *it.1 > 1).collect();
    let is_promise = |id: &String| matches!(ends.get(id), Some(408 | 421 | 429 | 503));
    let refused: Vec<_> = count.keys().filter(|it| is_promise(it)).collect();
    for (id, runs) in &twice {
        record.say(&format!("TWICE: {id} ran {runs} times; its client got {:?}", ends.get(*id)));
    }
    for id in &refused {
        record.say(&format!("REFUSED: {id} got {:?} and has run", ends.get(*id)));
    }
    let served = ends.values().filter(|it| **it == 200).count();
    let (extras, answers) =
        (backends[1].extras.load(Ordering::SeqCst), backends[1].answers.load(Ordering::SeqCst));
    record.say(&format!(
        "{} requests, {served} served; {extras} extra answers among {answers} of i-dp1; TWICE {}, REFUSED {}",
        ends.len(),
        twice.len(),
        refused.len()
    ));
    if served == 0 {
        return NOT_RUN;
    }
    if twice.is_empty() && refused.is_empty() { HELD } else { BROKEN }
}
