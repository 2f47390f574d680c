//! A target in trouble sends bytes that are no answer, without end, until its node closes the
//! connection.

use std::time::{Duration, Instant};

use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::TestMesh;

/// Bytes on their way that the node has not read: buffers of the sockets of one connection.
const SOCKET_BYTES: usize = 12 << 20;
/// Bytes that a node may read before the head of an answer is complete.
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Bytes that a node may read of one answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Deadline of the requests: an answer that is cut does not take that long.
const DEADLINE: Duration = Duration::from_secs(40);
/// Requests that the target runs at a time.
const SLOTS: usize = 4;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\n\
    Pollenlever-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
const HEAD_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\r\n";
const HEAD_WITH_HUGE_LENGTH: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\n\
    Pollenlever-Proof: p\r\nContent-Length: 99999999999999\r\n\r\n";

/// Checks that the caller gets its answer long before the deadline, and that the target could send
/// no more than `max_bytes`.
async fn check_bounded(start: &'static str, repeated: &'static str, max_bytes: usize) {
    let mesh = TestMesh::start(&[("charge", &[Action::Endless(start, repeated)])]).await;
    let mut caller = mesh.caller().await;
    let began = Instant::now();
    caller.request("POST", "/charge/1", "r1", DEADLINE.as_millis() as u64).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("pollenlever-outcome"), Some("unknown"));
    assert!(began.elapsed() < DEADLINE / 2, "{:?}", began.elapsed());
    mesh.nodes[0].target.wait_for_hangups(1).await;
    let written = mesh.nodes[0].target.endless_bytes();
    assert!(written <= max_bytes + SOCKET_BYTES, "{written} bytes");
}

macro_rules! cases {
    ($($name:ident: $start:expr, $repeated:expr => $max_bytes:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_bounded($start, $repeated, $max_bytes).await;
            }
        )+
    };
}

cases! {
    a_status_line_without_end_is_cut: "HTTP/1.1 200 ", "x" => MAX_HEAD_BYTES;
    headers_without_end_are_cut: "HTTP/1.1 200 X\r\n", "X-Pad: pad\r\n" => MAX_HEAD_BYTES;
    interim_answers_without_end_are_cut: "", "HTTP/1.1 102 X\r\n\r\n" => MAX_HEAD_BYTES;
    a_chunked_body_without_end_is_cut: CHUNKED_HEAD, "4\r\nbody\r\n" => MAX_ANSWER_BYTES;
    chunk_sizes_without_end_are_cut: CHUNKED_HEAD, "0" => MAX_ANSWER_BYTES;
    a_body_without_length_or_end_is_cut: HEAD_WITHOUT_LENGTH, "body" => MAX_ANSWER_BYTES;
    a_body_with_a_huge_length_is_cut: HEAD_WITH_HUGE_LENGTH, "body" => MAX_ANSWER_BYTES;
}

/// Answers without end on all slots end, and a request after them is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_on_all_slots_are_cut() {
    let endless = Action::Endless(HEAD_WITHOUT_LENGTH, "body");
    let mut script = vec![endless; SLOTS];
    script.push(Action::Answer(200, "whole"));
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    let mut callers = Vec::new();
    for slot in 0..SLOTS {
        let mut caller = RawCaller::connect(mesh.nodes[0].callers).await;
        let id = format!("r{slot}");
        caller.request("POST", "/charge/1", &id, DEADLINE.as_millis() as u64).await;
        callers.push(caller);
    }
    for caller in &mut callers {
        assert_eq!(caller.answer().await.unwrap().status, 502);
    }
    assert_eq!(mesh.call("POST", "/charge/1", "last").await.body, "whole");
}
