//! Clients that do not behave, in crowds, at `pollenleverd`. The process lives, stays within the memory and the
//! descriptors of its settings, and serves ordinary callers meanwhile and afterwards.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use pollenlever_standins::crowd::{Client, Crowd, ProcessUsage, Reading};
use support::TestNode;
use tokio::runtime::Runtime;

/// Memory that the settings allow a node, in bytes.
const MEMORY_BYTES: usize = 64_000_000;
/// Descriptors that the settings allow a node.
const MAX_DESCRIPTORS: usize = 2_000;
/// Descriptors of a node that takes few connections.
const FEW_DESCRIPTORS: usize = 240;

/// Lets one test run at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn start_node(max_descriptors: usize) -> TestNode {
    TestNode::start_with(|cfg| {
        cfg.memory_bytes = Some(MEMORY_BYTES);
        cfg.max_descriptors = Some(max_descriptors);
    })
}

/// Waits until an ordinary caller, which tries again when it is refused, has got its answer.
fn wait_until_served(node: &TestNode) {
    let url = format!("http://{}/call/balance/read/ok", node.cfg.entry);
    node.wait_for("ordinary request", || {
        reqwest::blocking::get(&url).is_ok_and(|it| it.status() == 200)
    });
}

fn check_usage(usage: ProcessUsage, max_descriptors: usize) {
    let (memory, descriptors) = (usage.peak_memory(), usage.descriptors());
    println!("peak {memory} bytes, now {}, descriptors {descriptors}", usage.memory());
    assert!(memory <= MEMORY_BYTES as u64, "{memory} bytes, allowed {MEMORY_BYTES}");
    assert!(descriptors <= max_descriptors, "{descriptors} descriptors");
}

/// Plays a crowd at an address of a node, then lets it leave.
fn play(count: usize, addr: fn(&TestNode) -> SocketAddr, client: Client, max_descriptors: usize) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let node = start_node(max_descriptors);
    let usage = ProcessUsage::of(node.pid());
    let before = usage.descriptors();
    let runtime = Runtime::new().unwrap();
    let crowd = runtime.block_on(async {
        let crowd = Crowd::open(count, addr(&node), client).await;
        usage.wait_until_steady().await;
        crowd
    });
    wait_until_served(&node);
    check_usage(usage, max_descriptors);
    drop(crowd);
    // Connections of the ordinary caller, to the store and to the target come and go.
    let margin = FEW_DESCRIPTORS / 8;
    node.wait_for("descriptors given back", || usage.descriptors() <= before + margin);
    wait_until_served(&node);
    check_usage(usage, max_descriptors);
}

/// Each line is a test: its name, the size of the crowd, where it comes and how its clients behave.
macro_rules! cases {
    ($($name:ident: $count:literal at $addr:expr, $max_fds:expr, $client:expr;)*) => {$(
        #[test]
        fn $name() {
            play($count, $addr, $client, $max_fds);
        }
    )*};
}

// What the bounds of `pollenleverd` closed was in its logs alone.
#[test]
fn daemon_connections_that_the_bounds_close_are_not_counted() {
    const CROWD: usize = 400;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let node = start_node(FEW_DESCRIPTORS);
    let runtime = Runtime::new().unwrap();
    let _crowd = runtime.block_on(Crowd::open(CROWD, node.cfg.entry, sends(OPEN_HEAD, "")));
    let line = "pollenlever_connections_closed_total{address=\"callers\"";
    let metrics = format!("http://{}/metrics", node.cfg.entry);
    let text = || reqwest::blocking::get(&metrics)?.text();
    node.wait_for("counter", || text().is_ok_and(|it| it.contains(line)));
}

const CALLERS: fn(&TestNode) -> SocketAddr = |it| it.cfg.entry;
const PEER: fn(&TestNode) -> SocketAddr = |it| it.cfg.peer;

const LONG_ANSWER: &str = "GET /call/balance/read/long HTTP/1.1\r\nHost: node\r\n\r\n";
const OPEN_HEAD: &str = "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\n";
const CHUNKED_HEAD: &str =
    "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";
const LARGE_CHUNK: &str = "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\n\
    Transfer-Encoding: chunked\r\n\r\n80000\r\n";
const LONG_BODY: &str =
    "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\nContent-Length: 300000\r\n\r\n";
const TRAILERS: &str = "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\n\
    Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
const EXTENSION: &str = "GET /call/balance/read/ok HTTP/1.1\r\nHost: node\r\n\
    Transfer-Encoding: chunked\r\n\r\n1;x=";

fn sends(opening: &'static str, tail: &'static str) -> Client {
    Client { opening: (opening, 1), tail, ..Client::default() }
}

fn reads(opening: &'static str, count: usize, reading: Reading) -> Client {
    Client { opening: (opening, count), reading, ..Client::default() }
}

cases! {
    daemon_long_answers_that_nobody_reads: 200 at CALLERS, MAX_DESCRIPTORS,
        reads(LONG_ANSWER, 1, Reading::Never);
    daemon_long_answers_that_are_read_slowly: 200 at CALLERS, MAX_DESCRIPTORS,
        reads(LONG_ANSWER, 1, Reading::Slowly);
    daemon_pipelined_answers_that_nobody_reads: 40 at CALLERS, MAX_DESCRIPTORS,
        reads(LONG_ANSWER, 16, Reading::Never);
    daemon_heads_without_end: 800 at CALLERS, MAX_DESCRIPTORS, sends(OPEN_HEAD, "X-Pad: pad\r\n");
    daemon_header_lines_without_end: 800 at CALLERS, MAX_DESCRIPTORS, sends(OPEN_HEAD, "x");
    daemon_empty_lines_without_end: 800 at CALLERS, MAX_DESCRIPTORS, sends("", "\r\n");
    daemon_tiny_chunks_that_stop_short: 400 at CALLERS, MAX_DESCRIPTORS,
        sends(CHUNKED_HEAD, "1\r\nx\r\n");
    daemon_large_chunks_that_stop_short: 400 at CALLERS, MAX_DESCRIPTORS, sends(LARGE_CHUNK, "x");
    daemon_chunk_extensions_without_end: 400 at CALLERS, MAX_DESCRIPTORS, sends(EXTENSION, "x");
    daemon_trailers_without_end: 400 at CALLERS, MAX_DESCRIPTORS, sends(TRAILERS, "X-Pad: pad\r\n");
    daemon_bodies_with_a_length_that_stop_short: 400 at CALLERS, MAX_DESCRIPTORS,
        sends(LONG_BODY, "x");
    daemon_idle_connections_of_callers: 400 at CALLERS, FEW_DESCRIPTORS, Client::default();
    daemon_open_heads_take_all_descriptors: 400 at CALLERS, FEW_DESCRIPTORS, sends(OPEN_HEAD, "");
    daemon_idle_connections_at_the_peer_address: 400 at PEER, FEW_DESCRIPTORS, Client::default();
}
