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
    assert_eq!(reads, (limits.max_answer_bytes + limits.max_overhead_bytes) / READ_BYTES);
    connection.start_answer();
    assert!(connection.record(READ_BYTES).is_ok());
}

// LOST: the longest answer that is allowed was cut, as its head and the cost of its parts counted as body.
#[test]
fn the_longest_answer_is_cut_for_its_head() {
    const PART_BYTES: usize = 16 << 10;
    let limits = AnswerLimits::default();
    let connection = AnswerBytes::new(limits);
    connection.start_answer();
    assert!(connection.record(1000).is_ok());
    connection.start_body();
    assert!(connection.check_length(limits.max_answer_bytes).is_ok());
    for _ in 0..limits.max_answer_bytes / PART_BYTES {
        assert!(connection.record(PART_BYTES).is_ok() && connection.record_part().is_ok());
    }
    assert!(connection.check_length(limits.max_answer_bytes + 1).is_err());
}
