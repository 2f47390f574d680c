use super::scripted_target::Action;
use super::test_mesh::{TestMesh, table};

const HEAD: &str = "Host: a.example\r\nPollenlever-Request-Id: r1\r\n";

/// Checks the status with which the node answers `request`; `None` if it closes the connection
/// without an answer. The request must not reach the target,
/// and the node must still serve afterwards.
async fn check(request: impl AsRef<str>, expected: Option<u16>) {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "run")])]).await;
    let mut small = table(2);
    small.limits.max_body_bytes = 64;
    mesh.publish(small);
    let shared = mesh.nodes[0].node.shared();
    super::test_mesh::wait_until("limits in force", || shared.route_version() == 2).await;
    let mut caller = mesh.caller().await;
    caller.write(request.as_ref()).await;
    assert_eq!(caller.answer().await.map(|it| it.status), expected);
    assert_eq!(mesh.arrivals(), [0]);
    assert_eq!(mesh.call("POST", "/charge/1", "good").await.status, 200);
}

macro_rules! cases {
    ($($name:ident => $request:expr, $expected:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                check($request, $expected).await;
            }
        )+
    };
}

cases! {
    two_content_lengths_are_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), Some(400);
    a_content_length_that_is_no_number_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Content-Length: +3\r\n\r\nabc"), Some(400);
    an_unknown_transfer_encoding_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: x\r\n\r\nabc"), Some(400);
    a_chunk_size_that_is_no_number_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"), Some(400);
    a_space_before_the_colon_of_a_header_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}X-A : 1\r\n\r\n"), Some(400);
    a_header_without_a_colon_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}broken\r\n\r\n"), Some(400);
    a_request_without_an_id_is_refused =>
        "POST /charge/1 HTTP/1.1\r\nHost: a.example\r\n\r\n", Some(400);
    a_request_without_a_host_is_refused =>
        "POST /charge/1 HTTP/1.1\r\nPollenlever-Request-Id: r1\r\n\r\n", Some(400);
    an_unknown_host_is_not_found =>
        "POST /charge/1 HTTP/1.1\r\nHost: b.example\r\nPollenlever-Request-Id: r1\r\n\r\n", Some(404);
    a_path_without_the_last_slash_is_not_found =>
        format!("POST /charge HTTP/1.1\r\n{HEAD}\r\n"), Some(404);
    a_body_over_the_limit_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Content-Length: 65\r\n\r\n{}", "x".repeat(65)), Some(413);
    a_head_over_the_limit_is_refused =>
        format!("POST /charge/1 HTTP/1.1\r\n{HEAD}X-A: {}\r\n\r\n", "x".repeat(20_000)), Some(431);
}

#[tokio::test]
async fn a_request_whose_body_ends_early_is_not_forwarded() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "run")])]).await;
    let mut caller = mesh.caller().await;
    caller.write(&format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Content-Length: 10\r\n\r\nabc")).await;
    drop(caller);
    assert_eq!(mesh.call("POST", "/charge/1", "good").await.status, 200);
    assert_eq!(mesh.arrivals(), [1]);
}

/// Checks that a request is not forwarded whose body, framed by `line`, the caller breaks off with a reset.
async fn check_cut_by_reset(line: &str, part: &str) {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "run")])]).await;
    let mut caller = mesh.caller().await;
    caller.write(&format!("POST /charge/1 HTTP/1.1\r\n{HEAD}{line}\r\n\r\n{part}")).await;
    caller.reset();
    assert_eq!(mesh.call("POST", "/charge/1", "good").await.status, 200);
    assert_eq!(mesh.arrivals(), [1]);
}

#[tokio::test]
async fn a_request_whose_body_a_reset_cuts_is_not_forwarded() {
    check_cut_by_reset("Content-Length: 10", "abc").await;
}

#[tokio::test]
async fn a_request_whose_chunks_a_reset_cuts_are_not_forwarded() {
    check_cut_by_reset("Transfer-Encoding: chunked", "3\r\nabc\r\n").await;
}

#[tokio::test]
async fn a_request_inside_a_body_is_not_run() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "run")])]).await;
    let mut caller = mesh.caller().await;
    let inner = "POST /charge/9 HTTP/1.1\r\nHost: a.example\r\n\r\n";
    let head = format!("POST /charge/1 HTTP/1.1\r\n{HEAD}Content-Length: {}\r\n\r\n", inner.len());
    caller.write(&format!("{head}{inner}")).await;
    assert_eq!(caller.answer().await.unwrap().status, 200);
    assert_eq!(mesh.arrivals(), [1]);
    assert_eq!(mesh.nodes[0].target.arrivals()[0].body, inner);
}

/// Two parsers could disagree about the end of a request that has both a `Content-Length` and
/// chunks, which allows request smuggling.
#[tokio::test]
async fn a_content_length_together_with_chunks_is_refused() {
    let body = "0\r\n\r\nPOST /charge/9 HTTP/1.1\r\n";
    let lengths = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len());
    check(format!("POST /charge/1 HTTP/1.1\r\n{HEAD}{lengths}\r\n{body}"), Some(400)).await;
}
