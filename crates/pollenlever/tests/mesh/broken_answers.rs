//! Answers to long uploads that break off with a reset while the upload is still being written.

use tokio::task::JoinSet;

use super::raw_caller::{RawAnswer, RawCaller};
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh};

/// Length of the uploads, in bytes: far more than a target's system buffers.
const UPLOAD_BYTES: usize = 8 << 20;
/// Length of the part of an answer that the target sends, in bytes.
const PART_BYTES: usize = 5_000;
const CALLERS: usize = 8;
const ROUNDS: usize = 8;

/// Start of an answer with these header lines, and a part of its body.
fn broken_answer(lines: &str, body: &str) -> &'static str {
    let head = "HTTP/1.1 200 OK\r\nPollenlever-Request-Id: {id}\r\nPollenlever-Proof: p\r\n";
    Box::leak(format!("{head}{lines}\r\n{body}").into_boxed_str())
}

async fn upload(mut caller: RawCaller, id: String) -> RawAnswer {
    caller.upload("/charge/1", &id, DEADLINE_MS, UPLOAD_BYTES).await;
    caller.answer().await.expect("an answer")
}

/// Checks that no caller gets the part of an answer as a complete one.
async fn check_never_complete(answer: &'static str) {
    let mesh = TestMesh::start(&[("charge", &[Action::WriteUnreadAndReset(answer)])]).await;
    let mut complete = 0;
    for round in 0..ROUNDS {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            callers.spawn(upload(mesh.caller().await, format!("r{round}-{number}")));
        }
        let answers = callers.join_all().await;
        complete += answers.iter().filter(|it| it.status == 200).count();
    }
    assert_eq!(complete, 0, "of {}", CALLERS * ROUNDS);
}

macro_rules! cases {
    ($($name:ident => $lines:expr, $body:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
            async fn $name() {
                check_never_complete(broken_answer($lines, $body)).await;
            }
        )+
    };
}

// MIXED: the failed write of the upload took the reset, and the next read saw an end of the connection, which
// ends an answer without a length.
cases! {
    an_answer_without_length_that_a_reset_cuts_is_complete => "", &"x".repeat(PART_BYTES);
    an_answer_with_length_that_a_reset_cuts_is_complete =>
        "Content-Length: 6000\r\n", &"x".repeat(PART_BYTES);
    a_chunked_answer_that_a_reset_cuts_is_complete =>
        "Transfer-Encoding: chunked\r\n", &format!("1388\r\n{}\r\n", "x".repeat(PART_BYTES));
}
