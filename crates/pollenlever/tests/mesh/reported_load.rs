//! Targets report in their answers how much other work slows their VMs.

use std::ops::RangeInclusive;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh};

/// A mesh whose target reports `load` in its answers.
async fn mesh(load: &str, action: Action) -> TestMesh {
    let mesh = TestMesh::start(&[("read", &[action])]).await;
    mesh.nodes[0].target.state(&format!("Pollenlever-Load: {load}\r\n"));
    mesh
}

/// Lets the target run a request, and returns the value of the gauge after it.
async fn slowdown_after_request(mesh: &TestMesh) -> f64 {
    let mut caller = RawCaller::connect(mesh.nodes[0].callers).await;
    let id = format!("r{}", mesh.nodes[0].target.arrivals().len());
    caller.request("GET", "/read/1", &id, DEADLINE_MS).await;
    assert!(caller.answer().await.is_some());
    slowdown(mesh).await
}

/// Value of the gauge for the slowdown.
async fn slowdown(mesh: &TestMesh) -> f64 {
    let mut io = TcpStream::connect(mesh.nodes[0].metrics).await.unwrap();
    io.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await.unwrap();
    let mut text = String::new();
    io.read_to_string(&mut text).await.unwrap();
    let mut lines = text.lines();
    let value = lines.find_map(|it| it.strip_prefix("pollenlever_target_slowdown_ratio "));
    value.expect("the gauge").parse().unwrap()
}

/// Checks the gauge after a request. On a busy machine the report may have ended when it is read.
async fn check(load: &str, action: Action, expected: RangeInclusive<f64>) {
    const TRIES: usize = 20;
    let mesh = mesh(load, action).await;
    let mut read = Vec::new();
    while read.len() < TRIES {
        let slowdown = slowdown_after_request(&mesh).await;
        if expected.contains(&slowdown) {
            return;
        }
        read.push(slowdown);
    }
    panic!("{read:?}");
}

macro_rules! cases {
    ($($name:ident: $load:literal, $action:expr, $expected:expr;)+) => {
        $(#[tokio::test] async fn $name() { check($load, $action, $expected).await; })+
    };
}

const ANSWER: Action = Action::Answer(200, "x");
const REJECT: Action = Action::Write(
    "HTTP/1.1 503 X\r\nPollenlever-Not-Run: 1\r\nPollenlever-Load: 1,0,4,60000\r\n\
     Content-Length: 0\r\n\r\n",
);

// Each guards against a header that is read wrongly; a report fades within 500 ms.
cases! {
    a_reported_slowdown_is_read: "1,0,4,60000", ANSWER, 1.5..=600.0;
    a_rejection_carries_the_slowdown: "", REJECT, 1.5..=600.0;
    a_figure_below_100_counts_as_100: "1,0,4,40", ANSWER, 1.0..=1.0;
    without_a_fourth_figure_no_slowdown_is_known: "1,0,4", ANSWER, 0.0..=0.0;
    a_malformed_report_counts_as_missing: "1,0,4,fast", ANSWER, 0.0..=0.0;
    a_figure_out_of_range_counts_as_missing: "1,0,4,4294967296", ANSWER, 0.0..=0.0;
}

/// Guards against a report that is used for too long, and against one of an earlier process.
#[tokio::test]
async fn a_report_ends_after_500_ms_and_with_its_process() {
    let mesh = mesh("1,0,4,60000", ANSWER).await;
    slowdown_after_request(&mesh).await;
    mesh.nodes[0].report_restart(2);
    assert_eq!(slowdown(&mesh).await, 0.0);
    slowdown_after_request(&mesh).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(slowdown(&mesh).await, 0.0);
}
