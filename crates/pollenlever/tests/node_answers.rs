//! Complete and truncated answers: what a caller gets for each way in which a target can answer.

mod support;

use support::TestNode;

/// Generates one test per row: path of the request (its last segment selects how the stub target
/// answers) and expected status, error and outcome.
macro_rules! answer_cases {
    ($($name:ident: $path:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let node = TestNode::start();
            let reply = node.get(concat!("/call/balance/read/", $path));
            assert_eq!(reply.summary(), $expected);
        }
    )*};
}

answer_cases! {
    complete_answer: "ok" => "200  ran";
    complete_chunked_answer: "chunked" => "200  ran";
    connection_closed_before_the_declared_length: "cut" => "502 answer-cut unknown";
    connection_closed_between_chunks: "cut-chunk" => "502 answer-cut unknown";
    body_of_unknown_length: "unmarked" => "502 answer-cut unknown";
    body_over_the_limit: "large" => "502 answer-cut unknown";
    answer_with_status_000: "status-000" => "502 answer-cut unknown";
    answer_with_status_101: "status-101" => "502 answer-cut unknown";
    answer_with_status_600: "status-600" => "502 answer-cut unknown";
    answer_with_status_999: "status-999" => "502 answer-cut unknown";
    connection_closed_before_an_answer: "crash" => "502 target-crashed unknown";
}

#[test]
fn body_and_headers_reach_the_caller() {
    let node = TestNode::start();
    let reply = node.get("/call/balance/read/ok?fresh=1");
    assert_eq!(reply.body, "the whole answer");
    assert_eq!(reply.header("x-colour"), "blue");
    assert!(reply.header("pollenlever-chain").starts_with(&node.id().to_string()));
    let head = node.target.heads().pop().unwrap();
    assert!(head.starts_with("GET /read/ok?fresh=1 "));
    assert!(head.contains(&format!("pollenlever-call: {}~", node.id())));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let node = TestNode::start();
    let headers = [("te", "trailers"), ("x-kept", "1"), ("pollenlever-customer", "7")];
    node.request("GET", "/call/balance/read/ok", &headers, "");
    let head = node.target.heads().pop().unwrap();
    assert!(head.contains("x-kept: 1") && !head.contains("te: trailers"));
    assert!(!head.contains("pollenlever-customer"));
}

#[test]
fn caller_that_disconnects_cancels_the_request_to_the_target() {
    let node = TestNode::start();
    let mut io = std::net::TcpStream::connect(node.cfg.entry).unwrap();
    let head = "GET /call/balance/read/slow HTTP/1.1\r\nhost: node\r\n\r\n";
    std::io::Write::write_all(&mut io, head.as_bytes()).unwrap();
    node.wait_for("run", || node.target.heads().iter().any(|it| it.contains("/slow")));
    drop(io);
    node.wait_for("cancellation", || node.target.disconnects() == 1);
}

#[test]
fn call_in_flight_is_answered_when_the_node_terminates() {
    let mut node = TestNode::start();
    let slow = std::thread::scope(|scope| {
        let slow = scope.spawn(|| node.get("/call/balance/read/slow"));
        node.wait_for("run", || node.target.heads().iter().any(|it| it.contains("/slow")));
        node.terminate();
        slow.join().unwrap()
    });
    assert_eq!((slow.status, slow.body.as_str()), (200, "the whole answer"));
    assert!(node.wait().success());
}
