use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, wait_until};

#[tokio::test]
async fn a_leaving_node_is_not_ready_and_says_so_on_its_answers() {
    let mesh =
        TestMesh::start(&[("charge", &[Action::Hang]), ("read", &[Action::Answer(200, "x")])]);
    let mesh = mesh.await;
    let left = async { mesh.nodes[0].node.leave().await };
    let observed = async {
        wait_until("not ready", || !mesh.nodes[0].node.shared().is_ready()).await;
        mesh.call("GET", "/read/1", "r1").await
    };
    let (was_idle, answer) = tokio::join!(left, observed);
    assert!(was_idle);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let other = mesh.nodes[1].node.shared();
    wait_until("departure known", || other.serving_member_count() == 0).await;
}

/// Guards against requests cut off by a stop: a node that found itself idle waited for its last
/// answers to be written and exited; requests that arrived meanwhile on kept-alive connections were
/// forwarded and then cut off.
#[tokio::test]
async fn no_connection_is_open_when_a_leaving_node_ends() {
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, "x")])]).await;
    let mut kept = mesh.caller().await;
    kept.request("GET", "/read/1", "r1", DEADLINE_MS).await;
    assert_eq!(kept.answer().await.unwrap().status, 200);
    assert!(mesh.nodes[0].node.leave().await);
    assert_eq!(mesh.nodes[0].node.shared().open_connection_count(), 0);
    assert_eq!(kept.answer().await, None);
}

#[tokio::test]
async fn a_leaving_node_waits_for_the_runs_of_its_target() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hold])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", DEADLINE_MS).await;
    mesh.nodes[0].target.wait_for_arrivals(1).await;
    let left = async { mesh.nodes[0].node.leave().await };
    let answered = async {
        wait_until_refused(mesh.nodes[0].callers).await;
        mesh.nodes[0].target.release();
        caller.answer().await
    };
    let (was_idle, answer) = tokio::join!(left, answered);
    assert!(was_idle);
    assert_eq!(answer.unwrap().body, "held");
}

/// How a connection with pipelined requests ended.
struct PipelineEnd {
    answered: usize,
    /// Requests that were sent and not answered.
    unanswered: usize,
    /// Whether the last answer says that the connection closes.
    is_announced: bool,
}

/// Keeps `DEPTH` idempotent requests open on a connection until it ends, or until 100 were answered.
async fn keep_pipeline_full(mut caller: RawCaller) -> PipelineEnd {
    const DEPTH: usize = 3;
    const MAX_ANSWERS: usize = 100;
    // The requests do not end together, so that there is always one behind the one that ends.
    const PAUSE: Duration = Duration::from_millis(25);
    let mut open = VecDeque::new();
    let mut end = PipelineEnd { answered: 0, unanswered: 0, is_announced: false };
    while end.answered < MAX_ANSWERS {
        while open.len() < DEPTH {
            let id = format!("p{}", end.answered + open.len());
            caller.request("GET", "/read/1", &id, DEADLINE_MS).await;
            open.push_back(id);
            tokio::time::sleep(PAUSE).await;
        }
        let Some(answer) = caller.answer().await else { break };
        let answered_id = answer.header("pollenlever-request-id");
        assert_eq!(answered_id, open.pop_front().as_deref(), "{answer:?}");
        end.answered += 1;
        end.is_announced = answer.header("connection") == Some("close");
        if end.is_announced {
            break;
        }
    }
    end.unanswered = open.len();
    end
}

/// Guards against requests cut when a node exits: on a connection that always had a request behind the
/// one that ended, no answer said that it closes, and the node went on reading and passing on requests.
#[tokio::test]
async fn pipelined_requests_are_cut_when_a_leaving_node_exits() {
    let slow = [Action::AnswerAfter(Duration::from_millis(100), "x")];
    let mesh = TestMesh::start(&[("charge", &[Action::Hang]), ("read", &slow)]).await;
    let pipeline = tokio::spawn(keep_pipeline_full(mesh.caller().await));
    mesh.nodes[1].target.wait_for_arrivals(4).await;
    assert!(mesh.nodes[0].node.leave().await, "requests were open at the end of the grace period");
    let end = pipeline.await.unwrap();
    assert!(end.is_announced);
    assert!(end.unanswered > 0, "the case needs requests behind the closing answer");
    // What is behind the closing answer was not passed on, so its caller may send it again.
    assert_eq!(mesh.nodes[1].target.arrivals().len(), end.answered);
}

/// Guards against requests cut when a node exits: a request whose last bytes came late in the grace
/// period was passed on, and had no time left to be answered.
#[tokio::test]
async fn a_request_that_arrives_late_in_the_grace_period_is_passed_on_and_cut() {
    let mesh = TestMesh::start(&[("read", &[Action::Hang]), ("charge", &[Action::Hold])]).await;
    let mut caller = mesh.caller().await;
    let head = "POST /charge/1 HTTP/1.1\r\nHost: a.example\r\nPollenlever-Request-Id: late\r\n";
    caller.write(&format!("{head}Content-Length: 4\r\n\r\nab")).await;
    let left = async { mesh.nodes[0].node.leave().await };
    let answered = async {
        wait_until_refused(mesh.nodes[0].callers).await;
        caller.write("cd").await;
        caller.answer().await
    };
    let (was_idle, answer) = tokio::join!(left, answered);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.header("pollenlever-outcome")), (503, Some("not-run")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(was_idle);
    assert_eq!(mesh.arrivals(), [0, 0]);
}

/// Guards against requests cut when a node exits: one that is still at work at the end of the grace
/// period lost its connection without a word.
#[tokio::test]
async fn a_request_at_work_at_the_end_of_the_grace_period_gets_no_answer() {
    let mesh = TestMesh::start(&[("read", &[Action::Hang]), ("charge", &[Action::Hang])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", DEADLINE_MS).await;
    mesh.nodes[1].target.wait_for_arrivals(1).await;
    let (was_idle, answer) = tokio::join!(mesh.nodes[0].node.leave(), caller.answer());
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.header("pollenlever-outcome")), (502, Some("unknown")));
    assert!(!was_idle);
}

/// Guards against two runs: a request that is not idempotent and was sent behind an answer that closes
/// the connection counts as not read for its caller, who sends it again.
#[tokio::test]
async fn a_non_idempotent_request_behind_a_closing_answer_is_run() {
    let script = [Action::AnswerAfter(Duration::from_millis(100), "x")];
    let mesh =
        TestMesh::start(&[("read", &script), ("charge", &[Action::Answer(200, "ran")])]).await;
    let mut caller = mesh.caller().await;
    caller.request_with("GET", "/read/1", "r1", DEADLINE_MS, "Connection: close\r\n").await;
    caller.request("POST", "/charge/1", "r2", DEADLINE_MS).await;
    assert_eq!(caller.answer().await.unwrap().header("connection"), Some("close"));
    assert_eq!(caller.answer().await, None);
    assert_eq!(mesh.arrivals(), [1, 0]);
}

/// Waits until a node accepts no new connections.
async fn wait_until_refused(addr: SocketAddr) {
    let refused = async { while TcpStream::connect(addr).await.is_ok() {} };
    tokio::time::timeout(super::test_mesh::WAIT, refused).await.expect("the node should stop");
}

/// Length of an answer that does not fit into the buffers of a slow reader's socket, in bytes.
const LONG_ANSWER_BYTES: usize = 60_000;
/// Time for which a caller does not read: longer than a node lingers behind answers that were taken.
const READ_PAUSE: Duration = Duration::from_millis(2500);

/// A caller sends `lines` with its request, pauses while it reads the answer, sends once more, and reads on.
async fn check_whole_after_pause(lines: &str, body: &str, is_stopped: bool) {
    let text: &'static str = Box::leak("x".repeat(LONG_ANSWER_BYTES).into_boxed_str());
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, text)])]).await;
    let mut caller = RawCaller::connect_slow_reader(mesh.nodes[0].callers).await;
    caller.request_with("GET", "/read/1", "r1", DEADLINE_MS, lines).await;
    caller.write(body).await;
    mesh.nodes[0].target.wait_for_arrivals(1).await;
    let left = async {
        if is_stopped {
            mesh.nodes[0].node.leave().await;
        }
    };
    let read = async {
        tokio::time::sleep(READ_PAUSE).await;
        caller.request("GET", "/read/1", "r2", DEADLINE_MS).await;
        tokio::time::sleep(READ_PAUSE / 10).await;
        caller.answer().await
    };
    let ((), answer) = tokio::join!(left, read);
    assert_eq!(answer.map(|it| it.body.len()), Some(LONG_ANSWER_BYTES));
}

/// Each line is a test: its name, the header lines of the request, its body, and whether the node stops.
macro_rules! reading_cases {
    ($($name:ident: $lines:literal, $body:literal, $is_stopped:literal;)+) => {$(
        #[tokio::test]
        async fn $name() {
            check_whole_after_pause($lines, $body, $is_stopped).await;
        }
    )+};
}

// LOST: connections were reset a second after the kernel had taken the answer, though callers still read.
reading_cases! {
    an_answer_that_is_read_slowly_is_cut_by_a_close: "Connection: close\r\n", "", false;
    an_answer_that_is_read_slowly_is_cut_by_a_stop: "", "", true;
    an_answer_to_a_chunked_body_that_is_read_slowly_is_cut_by_a_close:
        "Connection: close\r\nTransfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n", false;
    an_answer_to_a_chunked_body_that_is_read_slowly_is_cut_by_a_stop:
        "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n", true;
}
