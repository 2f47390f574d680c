//! Load pattern: callers open many connections, and send or read little on them.

use std::time::Duration;

use pollenlever_core::memory::{ConnectionLimits, ConnectionTable, MessageSize, Opening};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 3,
    max_buffer_bytes: 100,
    stalled_after: Duration::from_secs(1),
    min_bytes_per_s: 1000.0,
    rate_window: Duration::from_secs(2),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A table with connections 1 to 3, opened one millisecond after the other.
fn full_table() -> ConnectionTable {
    let mut table = ConnectionTable::new(LIMITS);
    for id in 1..=3 {
        assert_eq!(table.open(ms(id), id), Opening::Taken);
    }
    table
}

#[test]
fn the_connection_that_is_idle_for_longest_makes_room() {
    let mut table = full_table();
    let first = table.get_mut(1).unwrap();
    first.start_request();
    first.end_request(ms(10));
    assert_eq!(table.open(ms(20), 4), Opening::Replaces(2));
    assert_eq!(table.len(), 3);
}

#[test]
fn a_connection_at_work_is_not_closed() {
    let mut table = full_table();
    (1..=3).for_each(|id| table.get_mut(id).unwrap().start_request());
    assert_eq!(table.open(ms(60_000), 4), Opening::Refused);
    table.get_mut(2).unwrap().end_request(ms(60_001));
    assert_eq!(table.open(ms(60_002), 5), Opening::Replaces(2));
}

#[test]
fn a_stalled_connection_is_closed_before_an_idle_one() {
    let mut table = full_table();
    table.get_mut(3).unwrap().set_receiving(ms(10), true);
    assert_eq!(table.open(ms(1010), 4), Opening::Replaces(3));
}

#[test]
fn an_open_head_makes_room_where_nothing_else_does() {
    let mut table = full_table();
    (1..=2).for_each(|id| table.get_mut(id).unwrap().start_request());
    table.get_mut(3).unwrap().set_receiving(ms(10), true);
    assert_eq!(table.open(ms(20), 4), Opening::Replaces(3));
}

#[test]
fn buffers_of_all_connections_are_bounded() {
    let mut table = full_table();
    assert!(table.set_buffers(ms(10), 1, 60).is_granted);
    assert!(table.set_buffers(ms(10), 2, 30).is_granted);
    let change = table.set_buffers(ms(11), 3, 40);
    assert!(change.is_granted);
    assert_eq!(change.closed, [1]);
    assert_eq!(table.buffer_bytes(), 70);
    table.get_mut(2).unwrap().start_request();
    assert!(!table.set_buffers(ms(12), 3, 80).is_granted);
    assert_eq!(table.buffer_bytes(), 70);
    table.close(2);
    table.close(3);
    assert_eq!(table.buffer_bytes(), 0);
}

/// Holds an answer on each connection, and lets each read what `rates` says, in bytes per 100 ms.
fn read_for_3_s(rates: [usize; 3]) -> ConnectionTable {
    let mut table = full_table();
    for (id, rate) in (1..).zip(rates) {
        let state = table.get_mut(id).unwrap();
        state.hold(MessageSize::Large, 10_000);
        state.set_sending(ms(10), true);
        for step in 1..=30 {
            if rate > 0 {
                state.record_progress(ms(10 + 100 * step), rate, LIMITS.rate_window);
            }
        }
    }
    table
}

#[test]
fn stalled_readers_give_their_memory_to_those_that_wait() {
    let mut table = read_for_3_s([0, 50, 0]);
    let mut closed = table.relieve(ms(3010), MessageSize::Large);
    closed.sort_unstable();
    assert_eq!(closed, [1, 3]);
}

#[test]
fn the_slowest_reader_gives_way_if_none_is_stalled() {
    let mut table = read_for_3_s([500, 20, 50]);
    assert_eq!(table.relieve(ms(3010), MessageSize::Large), [2]);
    assert_eq!(table.relieve(ms(3010), MessageSize::Large), [3]);
    assert_eq!(table.relieve(ms(3010), MessageSize::Large), []);
}

#[test]
fn those_that_hold_nothing_of_the_size_stay() {
    let mut table = read_for_3_s([0, 0, 0]);
    assert_eq!(table.relieve(ms(3010), MessageSize::Small), []);
}

#[test]
fn time_in_which_nothing_was_to_be_read_does_not_count() {
    let mut table = full_table();
    let state = table.get_mut(1).unwrap();
    state.hold(MessageSize::Large, 10);
    state.set_sending(ms(60_000), true);
    assert_eq!(table.relieve(ms(60_500), MessageSize::Large), []);
    assert_eq!(table.relieve(ms(61_000), MessageSize::Large), [1]);
}
