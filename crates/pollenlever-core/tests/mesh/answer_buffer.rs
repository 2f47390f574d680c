//! Load pattern: a target sends answers without end on all connections.

use pollenlever_core::mesh::{AnswerBuffer, AnswerBytes, AnswerLimits};

use crate::cases;

/// Bytes that come with one read.
const READ_BYTES: usize = 64 << 10;

/// Starts reading bodies on `count` connections and reads in turn until no answer may be longer.
fn read_without_end(buffer: &AnswerBuffer, count: usize) -> Vec<AnswerBytes> {
    let connections: Vec<_> = (0..count).map(|_| buffer.new_connection()).collect();
    for it in &connections {
        it.start_answer();
        it.start_body();
    }
    let mut open: Vec<&AnswerBytes> = connections.iter().collect();
    while !open.is_empty() {
        open.retain(|it| it.record(READ_BYTES).is_ok());
    }
    connections
}

/// Checks that the bytes held together stay bounded, and that a short answer can still be read.
fn check_held(count: usize) {
    let limits = AnswerLimits::default();
    let buffer = AnswerBuffer::new(limits);
    let connections = read_without_end(&buffer, count);
    let overshoot = count * READ_BYTES;
    assert!(buffer.held() <= limits.max_held_bytes + overshoot, "{} bytes", buffer.held());
    drop(connections);
    assert_eq!(buffer.held(), 0);
}

cases! {
    check_held:
    one_answer_without_end_is_bounded => 1;
    answers_without_end_on_all_slots_are_bounded_together => 36;
    answers_without_end_on_all_connections_are_bounded_together => 316;
}

#[test]
fn a_short_answer_is_read_beside_answers_without_end() {
    let buffer = AnswerBuffer::default();
    let endless: Vec<_> = (0..4).map(|_| buffer.new_connection()).collect();
    for it in &endless {
        it.start_answer();
        it.start_body();
        while it.record(READ_BYTES).is_ok() {}
    }
    let short = buffer.new_connection();
    short.start_answer();
    short.start_body();
    assert!((0..32).all(|_| short.record(READ_BYTES).is_ok()));
}

#[test]
fn a_connection_is_used_again_after_its_answer_was_released() {
    let buffer = AnswerBuffer::default();
    let connection = buffer.new_connection();
    for _ in 0..1000 {
        connection.start_answer();
        assert!(connection.record(READ_BYTES).is_ok());
        connection.release();
    }
    assert_eq!(buffer.held(), 0);
}
