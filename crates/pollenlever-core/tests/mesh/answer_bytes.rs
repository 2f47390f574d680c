//! Load pattern: a target sends many answers on one connection, or one without end.

use pollenlever_core::mesh::{AnswerBytes, AnswerLimits};

/// Bytes that come with one read.
const READ_BYTES: usize = 64 << 10;

#[test]
fn a_connection_is_used_again_after_its_answer_was_read() {
    let connection = AnswerBytes::new(AnswerLimits::default());
    for _ in 0..1000 {
        connection.start_answer();
        assert!(connection.record(READ_BYTES).is_ok());
    }
}

#[test]
fn one_answer_without_end_is_cut() {
    let limits = AnswerLimits::default();
    let connection = AnswerBytes::new(limits);
    connection.start_answer();
    connection.start_body();
    let reads = (0..).take_while(|_| connection.record(READ_BYTES).is_ok()).count();
    assert_eq!(reads, limits.max_answer_bytes / READ_BYTES);
    connection.start_answer();
    assert!(connection.record(READ_BYTES).is_ok());
}
