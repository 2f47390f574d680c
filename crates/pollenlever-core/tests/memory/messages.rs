//! Load pattern: more messages are offered at a time than the process has memory for.

use pollenlever_core::memory::{
    Grant, HoldId, MemoryLedger, MemoryShares, MessageKind, MessageLane, MessageSize,
    SMALL_MESSAGE_BYTES,
};

use crate::cases;

const MB: usize = 1_000_000;
const LARGEST_BYTES: usize = 64 << 20;
const LARGE_BODIES: MessageLane = lane(MessageKind::Body, MessageSize::Large);
const LARGE_ANSWERS: MessageLane = lane(MessageKind::TargetAnswer, MessageSize::Large);
const PEER_ANSWERS: MessageLane = lane(MessageKind::PeerAnswer, MessageSize::Large);
const SMALL_ANSWERS: MessageLane = lane(MessageKind::TargetAnswer, MessageSize::Small);

const fn lane(kind: MessageKind, size: MessageSize) -> MessageLane {
    MessageLane { kind, size }
}

fn ledger(process_mb: usize) -> MemoryLedger {
    MemoryLedger::new(MemoryShares::of_process(process_mb * MB))
}

/// Lets `count` answers grow in turn until none of them gets more. Returns the ids of those that wait.
fn grow_without_end(ledger: &mut MemoryLedger, count: u64) -> Vec<HoldId> {
    let mut growing: Vec<u64> = (0..count).collect();
    let (mut waiting, mut last_id) = (Vec::new(), 0);
    while !growing.is_empty() {
        growing.retain(|_| {
            last_id += 1;
            let is_held =
                ledger.request(last_id, LARGE_ANSWERS, SMALL_MESSAGE_BYTES) == Grant::Held;
            if !is_held {
                waiting.push(last_id);
            }
            is_held
        });
    }
    waiting
}

/// Answers without end stay within their share, and all memory comes back once they are cut.
fn check_held(count: u64) {
    let mut ledger = ledger(256);
    let shares = MemoryShares::of_process(256 * MB);
    let waiting = grow_without_end(&mut ledger, count);
    assert_eq!(waiting.len() as u64, count);
    assert!(ledger.held(LARGE_ANSWERS) <= shares.large_target_answers);
    waiting.iter().for_each(|id| drop(ledger.give_up(*id)));
    (0..=waiting[waiting.len() - 1]).for_each(|id| drop(ledger.release(id)));
    assert_eq!(ledger.held(LARGE_ANSWERS), 0);
    assert_eq!(ledger.waiting_count(LARGE_ANSWERS), 0);
}

cases! {
    check_held:
    one_answer_without_end_is_bounded => 1;
    answers_without_end_on_all_slots_are_bounded_together => 36;
    answers_without_end_on_all_connections_are_bounded_together => 316;
}

/// What others can make a process hold stays below its memory, with room for the process itself, and the
/// largest message of each kind fits.
fn check_shares(process_mb: usize, fits_largest: bool) {
    let shares = MemoryShares::of_process(process_mb * MB);
    let process = process_mb * MB;
    assert!(process - shares.sum() >= process / 8 + (16 * MB).min(process / 4), "{shares:?}");
    let ledger = ledger(process_mb);
    for lane in [LARGE_BODIES, LARGE_ANSWERS, PEER_ANSWERS] {
        assert_eq!(ledger.available(lane) >= LARGEST_BYTES, fits_largest, "{lane:?}");
    }
}

cases! {
    check_shares:
    memory_of_a_test_process => 16, false;
    memory_of_a_small_process => 64, false;
    memory_of_the_smallest_vm => 160, true;
    memory_of_the_usual_vm => 256, true;
    memory_of_the_largest_vm => 512, true;
}

#[test]
fn a_short_answer_is_read_beside_answers_without_end() {
    let mut ledger = ledger(256);
    grow_without_end(&mut ledger, 4);
    for id in 10_000..10_032 {
        assert_eq!(ledger.request(id, SMALL_ANSWERS, SMALL_MESSAGE_BYTES), Grant::Held);
    }
}

#[test]
fn bodies_leave_memory_for_answers() {
    let mut ledger = ledger(256);
    assert_eq!(ledger.request(1, LARGE_BODIES, 70 * MB), Grant::Held);
    assert_eq!(ledger.request(2, LARGE_BODIES, 70 * MB), Grant::Waiting);
    assert_eq!(ledger.request(3, LARGE_ANSWERS, LARGEST_BYTES), Grant::Held);
}

#[test]
fn memory_is_given_in_the_order_of_asking() {
    let mut ledger = ledger(64);
    assert_eq!(ledger.request(1, LARGE_ANSWERS, 8 * MB), Grant::Held);
    assert_eq!(ledger.request(2, LARGE_ANSWERS, 8 * MB), Grant::Waiting);
    assert_eq!(ledger.request(3, LARGE_ANSWERS, MB), Grant::Waiting);
    assert_eq!(ledger.release(1), [2, 3]);
    assert_eq!(ledger.request(4, LARGE_ANSWERS, 8 * MB), Grant::Waiting);
    assert_eq!(ledger.give_up(4), []);
    assert_eq!(ledger.release(2), []);
    assert_eq!(ledger.held(LARGE_ANSWERS), MB);
}

#[test]
fn a_message_that_never_fits_does_not_wait() {
    let mut ledger = ledger(64);
    let available = ledger.available(LARGE_ANSWERS);
    let grant = ledger.request(1, LARGE_ANSWERS, available + 1);
    assert_eq!(grant, Grant::TooLarge { available });
    assert_eq!(ledger.waiting_count(LARGE_ANSWERS), 0);
}

/// Load pattern: the gates of two nodes hold answers that the other one's callers asked for, and each takes
/// them only as it gets memory for them.
#[test]
fn nodes_that_hold_answers_for_each_other_do_not_wait_for_ever() {
    const ANSWER_BYTES: usize = 4 * MB;
    const ANSWERS: u64 = 100;
    let mut nodes = [ledger(256), ledger(256)];
    let mut delivered = [0; 2];
    for id in 0..ANSWERS {
        for gate in &mut nodes {
            gate.request(id, LARGE_ANSWERS, ANSWER_BYTES);
        }
    }
    for id in 0..ANSWERS {
        for (gate, owner) in [(0, 1), (1, 0)] {
            let taken = nodes[owner].request(ANSWERS + id, PEER_ANSWERS, ANSWER_BYTES);
            assert_eq!(taken, Grant::Held, "answer {id} waits for those of the other node");
            nodes[gate].release(id);
            // The caller reads at once.
            nodes[owner].release(ANSWERS + id);
            delivered[owner] += 1;
        }
    }
    assert_eq!(delivered, [ANSWERS; 2]);
}
