//! The three nodes of a zone are stopped with SIGTERM and started again, one after the other, while clients
//! pipeline idempotent requests. A request that was passed on to a backend must get its answer.

#[path = "../standins/common.rs"]
mod common;

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// `roll_term` of the site file: share 1, x = 1 at a time, each second.
const GAP_S: f64 = 1.0;
const STOPPED: usize = 3;
const GRACE_S: f64 = 6.0;
const FIRST_TERM_S: f64 = 4.0;
const TRAFFIC_S: f64 = 18.0;
/// Work of a request; `paint-stock` of the site.
const WORK_MS: u64 = 400;
const ROUTE_TIMEOUT_S: f64 = 2.5;
/// Pipelining connections to each node that is stopped, and the requests that each keeps open.
const CONNECTIONS: usize = 4;
const DEPTH: usize = 3;
/// Pause between the first requests of a connection.
const FIRST_PAUSE_MS: u64 = 130;

/// A request as its client sees it.
#[derive(Clone, Debug)]
struct Seen {
    node: usize,
    sent: f64,
    /// Status of its complete answer; `None` if its connection ended before.
    status: Option<u16>,
    ended: f64,
    /// Whether an earlier answer said that the connection closes after it.
    is_behind_close: bool,
}

type SeenById = Arc<Mutex<BTreeMap<String, Seen>>>;

fn main() {
    let trouble = trouble();
    let record = Record::create();
    let folder = new_folder("2");
    let store = Store::new(&record);
    let routes = [Route {
        host: "stock.example",
        prefix: "/stock/",
        kind: "idempotent",
        service: "stockroom",
        timeout_s: ROUTE_TIMEOUT_S,
    }];
    store.put("config", "main", &config(7, &routes, &["jobsheets", "stockroom"]));
    let places = [
        ("n1", "hafnarfj", "jobsheets"),
        ("n2", "hafnarfj", "jobsheets"),
        ("n3", "hafnarfj", "jobsheets"),
        ("n4", "keflav", "stockroom"),
        ("n5", "akureyri", "stockroom"),
    ];
    let nodes: Vec<Arc<Node>> = places
        .iter()
        .map(|it| Node::start(&record, &folder, it.0, it.1, it.2, &store.door(it.0)))
        .collect();
    let runs = Runs::default();
    let _backends: Vec<_> = nodes
        .iter()
        .map(|it| {
            let instance = format!("i-{}", it.name);
            Backend::start(&record, &runs, it, &instance, |_| Act::Run(ms(WORK_MS)), |_| false)
        })
        .collect();
    if !wait_for("all nodes ready", 20, || nodes.iter().all(|it| it.is_ready())) {
        finish(NOT_RUN);
    }
    thread::sleep(ms(3000));
    let began = record.now();
    record.say("traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let gets_work: Vec<Arc<AtomicBool>> =
        nodes.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    thread::spawn({
        let (record, nodes, gets_work) = (record.clone(), nodes.clone(), gets_work.clone());
        move || ask_for_readiness(&record, &nodes, &gets_work)
    });
    let seen = SeenById::default();
    let mut clients = Vec::new();
    for node in 0..STOPPED {
        for connection in 0..CONNECTIONS {
            let (record, seen, stop) = (record.clone(), Arc::clone(&seen), Arc::clone(&stop));
            let (addr, gets_work) = (nodes[node].outbound, Arc::clone(&gets_work[node]));
            let name = format!("c{node}{connection}");
            clients.push(thread::spawn(move || {
                let client = Client { name, node, addr, record, seen, stop, gets_work };
                client.run();
            }));
        }
    }
    let mut terms = [f64::MAX; STOPPED];
    for node in 0..STOPPED {
        record.sleep_until(began + FIRST_TERM_S + GAP_S * node as f64);
        if trouble {
            terms[node] = record.now();
            record.say(&format!("platform: SIGTERM to {}", nodes[node].name));
            nodes[node].signal("TERM");
            let (node, record) = (Arc::clone(&nodes[node]), record.clone());
            thread::spawn(move || restart(&node, &record));
        }
    }
    record.sleep_until(began + TRAFFIC_S);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let code = judge(&record, &runs, &seen.lock().unwrap(), terms);
    nodes.iter().for_each(|it| it.kill());
    let _ = std::fs::remove_dir_all(&folder);
    finish(code);
}

/// SIGKILL after the grace period, if the process has not ended, and a new process.
fn restart(node: &Node, record: &Record) {
    let until = record.now() + GRACE_S;
    while record.now() < until && !node.has_exited() {
        thread::sleep(ms(10));
    }
    record.say(&format!("platform: {} has ended", node.name));
    node.kill();
    thread::sleep(ms(500));
    node.launch();
}

/// Asks each node once a second whether it is ready. After two misses the clients of a machine get
/// no new work, but not if fewer than half of the zone's nodes are in.
fn ask_for_readiness(record: &Record, nodes: &[Arc<Node>], gets_work: &[Arc<AtomicBool>]) {
    let mut misses = vec![0; nodes.len()];
    loop {
        for (node, misses) in nodes.iter().zip(&mut misses) {
            *misses = if node.is_ready() { 0 } else { *misses + 1 };
        }
        for (at, node) in nodes.iter().enumerate() {
            let zone = |it: &usize| nodes[*it].zone == node.zone;
            let all = (0..nodes.len()).filter(zone).count();
            let is_in = (0..nodes.len()).filter(zone).filter(|it| misses[*it] < 2).count();
            let works = misses[at] < 2 || 2 * is_in < all;
            if gets_work[at].swap(works, Ordering::SeqCst) != works {
                record.say(&format!(
                    "platform: clients on {} get work: {works} ({is_in} of {all} nodes of the zone are in)",
                    node.name
                ));
            }
        }
        thread::sleep(ms(1000));
    }
}

struct Client {
    name: String,
    node: usize,
    addr: SocketAddr,
    record: Record,
    seen: SeenById,
    stop: Arc<AtomicBool>,
    gets_work: Arc<AtomicBool>,
}

impl Client {
    /// Keeps some requests open on one connection; opens another one when it ends.
    fn run(&self) {
        let mut number = 0;
        while !self.stop.load(Ordering::SeqCst) {
            if self.gets_work.load(Ordering::SeqCst)
                && let Ok(io) = TcpStream::connect_timeout(&self.addr, ms(1000))
            {
                self.use_connection(io, &mut number);
            }
            thread::sleep(ms(200));
        }
    }

    fn use_connection(&self, mut io: TcpStream, number: &mut u32) {
        let _ = io.set_nodelay(true);
        let _ = io.set_read_timeout(Some(ms(5000)));
        let (mut buf, mut open) = (Vec::new(), VecDeque::new());
        let mut is_first = true;
        loop {
            let may_send =
                self.gets_work.load(Ordering::SeqCst) && !self.stop.load(Ordering::SeqCst);
            while may_send && open.len() < DEPTH {
                *number += 1;
                let id = format!("{}n{number:03}", self.name);
                let headers =
                    [("Host", "stock.example"), ("Request-Id", &*id), ("Deadline-Ms", "5000")];
                let path = format!("/stock/{id}");
                let sent = self.record.now();
                if io.write_all(&request_bytes("GET", &path, &headers, b"")).is_err() {
                    break;
                }
                self.record.line(&format!("client: {id} sent"));
                let seen = Seen {
                    node: self.node,
                    sent,
                    status: None,
                    ended: 0.0,
                    is_behind_close: false,
                };
                self.seen.lock().unwrap().insert(id.clone(), seen);
                open.push_back(id);
                if is_first {
                    thread::sleep(ms(FIRST_PAUSE_MS));
                }
            }
            is_first = false;
            if open.is_empty() {
                return;
            }
            let answer = read_msg(&mut io, &mut buf);
            let Some(answer) = answer else {
                open.iter().for_each(|id| self.end(id, None, false));
                return;
            };
            if let Some(id) = open.pop_front() {
                self.end(&id, Some(answer.status()), false);
            }
            if answer.closes() {
                open.iter().for_each(|id| self.end(id, None, true));
                return;
            }
        }
    }

    fn end(&self, id: &str, status: Option<u16>, is_behind_close: bool) {
        let what = match status {
            Some(status) => format!("answered {status}"),
            None if is_behind_close => "behind an answer that closes the connection".to_owned(),
            None => "the connection ended without its answer".to_owned(),
        };
        self.record.line(&format!("client: {id} {what}"));
        if let Some(seen) = self.seen.lock().unwrap().get_mut(id) {
            *seen = Seen { status, ended: self.record.now(), is_behind_close, ..seen.clone() };
        }
    }
}

/// Checks LOST around planned work as written.
fn judge(
    record: &Record,
    runs: &Runs,
    seen: &BTreeMap<String, Seen>,
    terms: [f64; STOPPED],
) -> i32 {
    let mut first_run = BTreeMap::new();
    for run in runs.all() {
        first_run.entry(run.id.clone()).or_insert(run);
    }
    let (mut lost, mut excused, mut behind) = (0, 0, 0);
    for (id, it) in seen {
        let term = terms[it.node];
        let Some(run) = first_run.get(id) else { continue };
        if it.status.is_some() {
            continue;
        }
        if it.is_behind_close {
            behind += 1;
            continue;
        }
        let is_planned = it.sent >= term - 6.0 && it.ended <= term + GRACE_S + 1.0;
        let is_timeout = it.ended - it.sent >= ROUTE_TIMEOUT_S;
        let works_late = it.ended >= term + GRACE_S * 5.0 / 6.0;
        if !is_planned || is_timeout || (works_late && it.sent <= term + 3.0) {
            excused += 1;
            continue;
        }
        lost += 1;
        record.say(&format!(
            "LOST: {id} sent {:.2} s after the SIGTERM, run by {} from {:.2} s, cut at {:.2} s without an answer",
            it.sent - term,
            run.backend,
            run.start - term,
            it.ended - term
        ));
    }
    let served = seen.values().filter(|it| it.status == Some(200)).count();
    record.say(&format!(
        "{} requests, {served} served; lost {lost}, excused {excused}, behind a closing answer {behind}",
        seen.len()
    ));
    if served == 0 {
        return NOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}
