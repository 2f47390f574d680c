//! Clients that pipeline and read slowly lose whole answers when the node that took their requests is stopped.

#[path = "../standins-2/common.rs"]
mod common;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;

/// Length of an answer's body.
const ANSWER_BYTES: usize = 200_000;
/// What a slow client reads at a time, and how often.
const PART_BYTES: usize = 10_000;
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the backend works on a request.
const WORK: Duration = Duration::from_millis(500);
/// Time budget of the requests, and timeout of their route.
const DEADLINE_MS: u64 = 12_000;
const ROUTE_TIMEOUT_S: f64 = 10.0;
/// When the node gets SIGTERM after the first requests were sent, and when the last one is sent after that.
const TERM_AFTER: Duration = Duration::from_millis(200);
const LAST_AFTER: Duration = Duration::from_millis(1700);
const CLIENTS: usize = 4;
/// The end of a connection counts until 1 s after `grace_s` (6 s) of the SIGTERM, before the time budget and the
/// route's timeout. The backends have long answered then.
const COUNTED_FOR: Duration = Duration::from_millis(7200);

/// What a client has seen.
struct Seen {
    client: usize,
    /// Ids of the requests whose whole answers were read, whatever their status.
    whole: Vec<String>,
    /// Whether one of these answers closes the connection: what is behind it counts as not read.
    is_closed: bool,
    /// How and when the connection ended after the first requests were sent, if it did.
    end: Option<(String, Duration)>,
}

fn spawn_client(client: usize, addr: SocketAddr, start: Instant) -> JoinHandle<Seen> {
    thread::spawn(move || {
        let mut io = TcpStream::connect(addr).expect("a connection to the node");
        let _ = io.set_nodelay(true);
        let request = |part: usize| {
            let id = format!("c{client}-{part}");
            client_request("GET", "/storico/2f", &id, DEADLINE_MS, "")
        };
        let first = request(1) + &request(2);
        io.write_all(first.as_bytes()).expect("the first requests are sent");
        note(&format!("client {client} sends c{client}-1 and c{client}-2"));
        // The third request is pipelined while the client still reads the first answer.
        let mut out = io.try_clone().expect("the same connection");
        let last = request(3);
        let sender = thread::spawn(move || {
            thread::sleep((TERM_AFTER + LAST_AFTER).saturating_sub(start.elapsed()));
            let sent = out.write_all(last.as_bytes());
            note(&format!("client {client} sends c{client}-3: {sent:?}"));
        });
        let mut seen = Seen { client, whole: Vec::new(), is_closed: false, end: None };
        let mut reader = SlowReader { io, buf: Vec::new() };
        for part in 1..=3 {
            match reader.read_answer() {
                Ok(true) => seen.whole.push(format!("c{client}-{part}")),
                // An answer that closes the connection: the requests behind it were not read.
                Ok(false) => {
                    seen.whole.push(format!("c{client}-{part}"));
                    seen.is_closed = true;
                    break;
                }
                Err(err) => {
                    seen.end = Some((err.to_string(), start.elapsed()));
                    break;
                }
            }
        }
        let _ = sender.join();
        seen
    })
}

struct SlowReader {
    io: TcpStream,
    buf: Vec<u8>,
}

impl SlowReader {
    /// Reads a whole answer. Returns whether the connection stays open.
    fn read_answer(&mut self) -> io::Result<bool> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).to_ascii_lowercase();
        let len = head.split_once("content-length: ").map(|it| it.1).unwrap_or_default();
        let len: usize = len.split('\r').next().unwrap_or_default().parse().unwrap_or(0);
        while self.buf.len() < head_len + len {
            self.fill()?;
        }
        self.buf.drain(..head_len + len);
        Ok(!head.contains("connection: close"))
    }

    fn fill(&mut self) -> io::Result<()> {
        thread::sleep(PART_INTERVAL);
        let mut part = [0; PART_BYTES];
        let len = self.io.read(&mut part)?;
        if len == 0 {
            return Err(io::Error::other("the connection ended"));
        }
        self.buf.extend_from_slice(&part[..len]);
        Ok(())
    }
}

fn main() {
    begin(Path::new("review/7"));
    let store = Store::default();
    store.write("config", "main", &config(3, &[("storico", "idempotent", ROUTE_TIMEOUT_S)]));
    let how = Service::new(WORK, ANSWER_BYTES);
    let machines: Vec<Arc<Machine>> = (1..=2)
        .map(|it| Arc::new(Machine::start(it, "mi-bicocca", "storico", store.open_access(), how)))
        .collect();
    machines.iter().for_each(spawn_heartbeats);
    for machine in &machines {
        wait_until("ready", ms(10_000), || machine.is_ready());
    }
    let stopped = &machines[0];
    wait_until("served", ms(10_000), || {
        call(stopped.callers, "GET", "/storico/2f", "warm-up", 4000) == 200
    });
    thread::sleep(ms(4000));

    let start = Instant::now();
    let clients: Vec<JoinHandle<Seen>> =
        (1..=CLIENTS).map(|it| spawn_client(it, stopped.callers, start)).collect();
    thread::sleep(TERM_AFTER.saturating_sub(start.elapsed()));
    if has_trouble() {
        stopped.signal("TERM");
    }
    let mut lost = Vec::new();
    for client in clients {
        let seen = client.join().expect("the client ends");
        note(&format!("client {} has whole answers to {:?}", seen.client, seen.whole));
        if let Some((how, at)) = &seen.end {
            let at = at.as_secs_f64();
            note(&format!("its connection ended {at:.3} s after its first requests: {how}"));
        }
        let is_in_time = seen.end.as_ref().is_some_and(|(_, at)| *at < COUNTED_FOR);
        for id in (1..=2).map(|part| format!("c{}-{part}", seen.client)) {
            let was_passed_on = machines
                .iter()
                .any(|it| it.backend.runs.lock().unwrap().iter().any(|it| it.id == id));
            let is_lost = !seen.whole.contains(&id) && !seen.is_closed;
            if is_lost && was_passed_on && is_in_time {
                lost.push(id);
            }
        }
    }
    for id in &lost {
        note(&format!("{id} was passed on to a backend and has no whole answer"));
    }
    for machine in &machines {
        for run in machine.backend.runs.lock().unwrap().iter().filter(|it| it.id.starts_with('c')) {
            note(&format!("{} was run by {}", run.id, machine.backend.id));
        }
    }
    let answered: usize = machines
        .iter()
        .map(|it| it.backend.answered.load(std::sync::atomic::Ordering::Relaxed))
        .sum();
    note(&format!("answers that the backends have sent whole: {answered}"));
    note(&format!("requests that were passed on and lost: {}", lost.len()));
    finish(if lost.is_empty() { HELD } else { BROKEN });
}
