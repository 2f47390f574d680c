//! Answers of targets that answer before they have read the body of the request.

mod support;

use support::{StubTarget, TestNode};

/// Length of the requests' bodies, in bytes: far more than a target's system buffers.
const BODY_BYTES: usize = 8 << 20;
const ROUNDS: usize = 40;

fn start() -> TestNode {
    TestNode::start_with(|cfg| {
        cfg.max_body_bytes = 2 * BODY_BYTES;
        cfg.memory_bytes = Some(256 << 20);
    })
}

// LOST: the answer of a target that answers before it has read the body was lost once the rest of the body
// could not be sent.
#[test]
fn answers_that_come_before_the_body_was_read_are_lost() {
    let node = start();
    let body = "x".repeat(BODY_BYTES);
    let whole = (0..ROUNDS).filter(|_| {
        let reply = node.request("GET", "/call/balance/read/unread", &[], &body);
        reply.status == 200 && reply.body == StubTarget::BODY
    });
    assert_eq!(whole.count(), ROUNDS);
}

// MIXED: a part of an answer whose connection is reset while the request is still being sent.
#[test]
fn an_answer_that_a_reset_cuts_while_the_body_is_sent_is_complete() {
    let node = start();
    let body = "x".repeat(BODY_BYTES);
    for _ in 0..ROUNDS {
        let reply = node.request("GET", "/call/balance/read/unread-cut", &[], &body);
        assert_ne!(reply.status, 200);
    }
    assert!(node.target.heads().iter().any(|it| it.contains("/unread-cut")));
}
