use super::script_target::Act;
use super::test_mesh::TestMesh;

const TWICE: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 3\r\n\r\noneHTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\n\
    Pollenlever-Proof: p\r\nContent-Length: 3\r\n\r\ntwo";
const CUT: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Length: 30\r\n\r\nbegins";
const CUT_CHUNK: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Transfer-Encoding: chunked\r\n\r\n4\r\nbegi";
const UNFRAMED: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\r\n\
    whole";
const OTHER_ID: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: other\r\nPollenlever-Proof: p\r\n\
    Content-Length: 5\r\n\r\nother";
const NO_ID: &str = "HTTP/1.1 200 X\r\nPollenlever-Proof: p\r\nContent-Length: 5\r\n\r\nother";
const NO_PROOF: &str =
    "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nother";
const ENCODED: &str = "HTTP/1.1 200 X\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n\
    Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nother";
const NOISE: &str = "this is no answer\r\n\r\n";

#[tokio::test]
async fn a_request_reaches_the_target_of_another_node_unchanged() {
    let target = [Act::Answer(200, "sheet")];
    let mesh = TestMesh::start(&[("charge", &[Act::Close]), ("read", &target)]).await;
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

/// A repeatable request whose first run gives no answer of its own is run by another target.
async fn check_repeated(first: Act) {
    let scripts = ([first], [Act::Answer(200, "good")]);
    let mesh = TestMesh::start(&[("read", &scripts.0), ("read", &scripts.1)]).await;
    for round in 0..4 {
        let answer = mesh.call("GET", "/read/1", &format!("r{round}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "good"));
    }
}

/// A request that must not be repeated and whose run gives no answer of its own ends as unknown.
async fn check_unknown(first: Act) {
    let scripts = ([first], [Act::Answer(200, "good")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("read", &scripts.1)]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("pollenlever-outcome"), Some("unknown"));
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(mesh.arrivals(), [1, 0]);
}

macro_rules! cases {
    ($($act:expr => $repeated:ident, $unknown:ident;)+) => {
        $(
            #[tokio::test]
            async fn $repeated() {
                check_repeated($act).await;
            }

            #[tokio::test]
            async fn $unknown() {
                check_unknown($act).await;
            }
        )+
    };
}

cases! {
    Act::Close => a_crash_is_repeated, a_crash_is_unknown;
    Act::WriteAndClose(CUT) => a_cut_answer_is_repeated, a_cut_answer_is_unknown;
    Act::WriteAndClose(CUT_CHUNK) => a_cut_chunk_is_repeated, a_cut_chunk_is_unknown;
    Act::Write(OTHER_ID) => an_answer_to_another_is_repeated, an_answer_to_another_is_unknown;
    Act::Write(NO_ID) => an_answer_without_id_is_repeated, an_answer_without_id_is_unknown;
    Act::Write(NO_PROOF) => an_answer_without_proof_is_repeated, an_answer_without_proof_is_unknown;
    Act::Write(ENCODED) => an_encoded_answer_is_repeated, an_encoded_answer_is_unknown;
    Act::Write(NOISE) => noise_is_repeated, noise_is_unknown;
}

#[tokio::test]
async fn bytes_after_an_answer_belong_to_no_request() {
    let script = [Act::Write(TWICE), Act::Answer(200, "three")];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.body, "one");
    let second = mesh.call("POST", "/charge/1", "r2").await;
    assert_eq!((second.status, second.body.as_str()), (200, "three"));
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let mesh = TestMesh::start(&[("charge", &[Act::WriteAndClose(UNFRAMED)])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
}

#[tokio::test]
async fn answers_to_pipelined_requests_come_in_order() {
    let script = [Act::Answer(200, "one"), Act::Answer(200, "two"), Act::Answer(200, "three")];
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
    let mesh = TestMesh::start(&[("charge", &[Act::Answer(500, "no paper")])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "no paper"));
    assert_eq!(answer.header("pollenlever-proof"), Some("p"));
}

#[tokio::test]
async fn a_request_past_its_deadline_is_answered() {
    let mesh = TestMesh::start(&[("charge", &[Act::Hang])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", 300).await;
    assert_eq!(caller.answer().await.unwrap().status, 504);
}
