use super::scripted_target::Action;
use super::test_mesh::TestMesh;

const TWO_ANSWERS: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 3\r\n\r\noneHTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\n\
    Pollenlever-Proof: p\r\nContent-Length: 3\r\n\r\ntwo";
const TRUNCATED_BODY: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 30\r\n\r\nbegins";
const TRUNCATED_CHUNK: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Transfer-Encoding: chunked\r\n\r\n4\r\nbegi";
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\r\n\
    whole";
const OTHER_ID: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: other\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const NO_ID: &str = "HTTP/1.1 200 X\r\nPollenlever-Proof: p\r\nContent-Length: 5\r\n\r\nother";
const NO_PROOF: &str =
    "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nother";
const CONTENT_ENCODED: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nother";
const STATUS_000: &str = "HTTP/1.1 000 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const STATUS_101: &str = "HTTP/1.1 101 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const STATUS_600: &str = "HTTP/1.1 600 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const STATUS_999: &str = "HTTP/1.1 999 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const NOT_HTTP: &str = "this is no answer\r\n\r\n";

#[tokio::test]
async fn a_request_reaches_the_target_of_another_node_unchanged() {
    let target = [Action::Answer(200, "sheet")];
    let mesh = TestMesh::start(&[("charge", &[Action::Close]), ("read", &target)]).await;
    let mut caller = mesh.caller().await;
    caller
        .write(
            "POST /read/7?x=1 HTTP/1.1\r\nHost: a.example\r\nPollenlever-Request-Id: r1\r\n\
             Pollenlever-Deadline-Ms: 9000\r\nPollenlever-Caller: forged\r\nX-Kept: yes\r\n\
             Connection: x-dropped\r\nX-Dropped: yes\r\nTransfer-Encoding: chunked\r\n\r\n\
             3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        .await;
    let answer = caller.answer().await.unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "sheet"));
    assert_eq!(answer.header("pollenlever-proof"), Some("p"));
    let arrival = &mesh.nodes[1].target.arrivals()[0];
    assert!(arrival.head.starts_with("POST /read/7?x=1 HTTP/1.1\r\n"), "{}", arrival.head);
    assert_eq!(arrival.body, "abcde");
    assert_eq!(arrival.header("host").as_deref(), Some("a.example"));
    assert_eq!(arrival.header("pollenlever-request-id").as_deref(), Some("r1"));
    assert_eq!(arrival.header("pollenlever-caller").as_deref(), Some("charge"));
    assert_eq!(arrival.header("x-kept").as_deref(), Some("yes"));
    assert_eq!(arrival.header("x-dropped"), None);
    let instance = format!("i-{}", mesh.nodes[1].target.addr.port());
    assert_eq!(arrival.header("pollenlever-instance"), Some(instance));
    let left: u64 = arrival.header("pollenlever-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 9000);
}

/// Checks that an idempotent request is retried on another target if the first run yields no valid
/// answer.
async fn check_retried(first: Action) {
    let scripts = ([first], [Action::Answer(200, "good")]);
    let mesh = TestMesh::start(&[("read", &scripts.0), ("read", &scripts.1)]).await;
    for round in 0..4 {
        let answer = mesh.call("GET", "/read/1", &format!("r{round}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "good"));
    }
}

/// Checks that a non-idempotent request is not retried and its outcome is unknown if the run yields
/// no valid answer.
async fn check_unknown(first: Action) {
    let scripts = ([first], [Action::Answer(200, "good")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("read", &scripts.1)]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("pollenlever-outcome"), Some("unknown"));
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(mesh.arrivals(), [1, 0]);
}

macro_rules! cases {
    ($($action:expr => $retried:ident, $unknown:ident;)+) => {
        $(
            #[tokio::test]
            async fn $retried() {
                check_retried($action).await;
            }

            #[tokio::test]
            async fn $unknown() {
                check_unknown($action).await;
            }
        )+
    };
}

cases! {
    Action::Close => a_crash_is_retried, a_crash_is_unknown;
    Action::WriteAndClose(TRUNCATED_BODY) => a_truncated_answer_is_retried, a_truncated_answer_is_unknown;
    Action::WriteAndClose(TRUNCATED_CHUNK) => a_truncated_chunk_is_retried, a_truncated_chunk_is_unknown;
    Action::Write(OTHER_ID) => an_answer_to_another_request_is_retried, an_answer_to_another_request_is_unknown;
    Action::Write(NO_ID) => an_answer_without_id_is_retried, an_answer_without_id_is_unknown;
    Action::Write(NO_PROOF) => an_answer_without_proof_is_retried, an_answer_without_proof_is_unknown;
    Action::Write(CONTENT_ENCODED) => an_encoded_answer_is_retried, an_encoded_answer_is_unknown;
    Action::Write(STATUS_000) => an_answer_with_status_000_is_retried, an_answer_with_status_000_is_unknown;
    Action::Write(STATUS_101) => an_answer_with_status_101_is_retried, an_answer_with_status_101_is_unknown;
    Action::Write(STATUS_600) => an_answer_with_status_600_is_retried, an_answer_with_status_600_is_unknown;
    Action::Write(STATUS_999) => an_answer_with_status_999_is_retried, an_answer_with_status_999_is_unknown;
    Action::Write(NOT_HTTP) => bytes_that_are_not_http_are_retried, bytes_that_are_not_http_are_unknown;
}

#[tokio::test]
async fn bytes_after_an_answer_are_not_used_for_the_next_request() {
    let script = [Action::Write(TWO_ANSWERS), Action::Answer(200, "three")];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.body, "one");
    let second = mesh.call("POST", "/charge/1", "r2").await;
    assert_eq!((second.status, second.body.as_str()), (200, "three"));
}

#[tokio::test]
async fn an_answer_without_length_ends_with_its_connection() {
    let mesh = TestMesh::start(&[("charge", &[Action::WriteAndClose(WITHOUT_LENGTH)])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
}

#[tokio::test]
async fn answers_to_pipelined_requests_come_in_order() {
    let script =
        [Action::Answer(200, "one"), Action::Answer(200, "two"), Action::Answer(200, "three")];
    let mesh = TestMesh::start(&[("read", &script)]).await;
    let mut caller = mesh.caller().await;
    for id in ["r1", "r2", "r3"] {
        caller.request("GET", "/read/1", id, super::test_mesh::DEADLINE_MS).await;
    }
    for (id, body) in [("r1", "one"), ("r2", "two"), ("r3", "three")] {
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.header("pollenlever-request-id"), Some(id));
        assert_eq!(answer.body, body);
    }
}

#[tokio::test]
async fn a_failure_of_the_target_is_passed_on_unchanged() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(500, "no paper")])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "no paper"));
    assert_eq!(answer.header("pollenlever-proof"), Some("p"));
}

#[tokio::test]
async fn a_request_past_its_deadline_is_answered() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hang])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", 300).await;
    assert_eq!(caller.answer().await.unwrap().status, 504);
}

/// An answer whose head ends early, wherever that is, must not become a complete answer.
#[tokio::test]
async fn a_head_that_ends_early_is_passed_on_as_an_empty_answer() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
        Content-Length: 5\r\nContent-Type: text/plain\r\n\r\n";
    // Each end of a line, with and without it, and places inside the lines.
    let ends = (1..WHOLE.len()).filter(|it| WHOLE[*it..].starts_with(['\r', '\n']) || it % 7 == 0);
    let script: Vec<Action> = ends.map(|it| Action::WriteAndClose(&WHOLE[..it])).collect();
    let mesh = TestMesh::start(&[("read", &[Action::Close]), ("charge", &script)]).await;
    for cut in 0..script.len() {
        let answer = mesh.call("POST", "/charge/1", &format!("r{cut}")).await;
        assert_eq!(answer.status, 502, "head cut at {cut}");
    }
    assert_eq!(mesh.nodes[1].target.arrivals().len(), script.len());
}
