use pollenlever_core::id::AttemptId;
use pollenlever_core::mesh::{AttemptLedger, AttemptStage};

fn attempt(seq: u64) -> AttemptId {
    let mut id: AttemptId = "127.0.0.1:7101@1f~0".parse().unwrap();
    id.seq = seq;
    id
}

#[test]
fn a_waiting_attempt_can_be_sealed_and_then_never_starts() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)).is_ok());
    assert_eq!(ledger.seal(attempt(1)), AttemptStage::Sealed);
    assert!(!ledger.start(attempt(1)));
}

#[test]
fn a_started_attempt_cannot_be_sealed() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)).is_ok());
    assert!(ledger.start(attempt(1)));
    assert_eq!(ledger.seal(attempt(1)), AttemptStage::Started);
}

#[test]
fn an_attempt_can_begin_only_once() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)).is_ok());
    assert_eq!(ledger.begin(attempt(1)), Err(AttemptStage::Waiting));
}

#[test]
fn an_attempt_can_start_only_once() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)).is_ok());
    assert!(ledger.start(attempt(1)));
    assert!(!ledger.start(attempt(1)));
}

/// Enough other attempts for the ledger to forget the ones before them.
fn forget_earlier_ones(ledger: &mut AttemptLedger) {
    let mut other: AttemptId = "127.0.0.2:7101@2f~0".parse().unwrap();
    for seq in 0..10_000 {
        other.seq = seq;
        ledger.seal(other);
    }
}

// A request that has run must not be reported as not run, however many others came after it.
#[test]
fn a_run_that_was_forgotten_is_sealed() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(7)).is_ok());
    assert!(ledger.start(attempt(7)));
    forget_earlier_ones(&mut ledger);
    assert_eq!(ledger.seal(attempt(7)), AttemptStage::Forgotten);
}

// A request that was reported as not run must not run when it arrives after many others.
#[test]
fn a_sealed_attempt_that_was_forgotten_begins() {
    let mut ledger = AttemptLedger::default();
    assert_eq!(ledger.seal(attempt(7)), AttemptStage::Sealed);
    forget_earlier_ones(&mut ledger);
    assert_eq!(ledger.begin(attempt(7)), Err(AttemptStage::Forgotten));
}

#[test]
fn a_waiting_attempt_that_was_forgotten_does_not_start() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(7)).is_ok());
    forget_earlier_ones(&mut ledger);
    assert!(!ledger.start(attempt(7)));
}

#[test]
fn later_attempts_of_a_sender_are_not_affected_by_forgotten_ones() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(7)).is_ok());
    forget_earlier_ones(&mut ledger);
    assert!(ledger.begin(attempt(8)).is_ok());
    assert_eq!(ledger.seal(attempt(9)), AttemptStage::Sealed);
}

// Beyond so many senders nothing can be told of most of them.
#[test]
fn a_run_of_a_sender_that_was_forgotten_is_sealed() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(7)).is_ok());
    assert!(ledger.start(attempt(7)));
    let mut other = attempt(1);
    for incarnation in 0x100..0x100 + 60_000 {
        other.sender.incarnation = incarnation;
        ledger.seal(other);
    }
    assert_eq!(ledger.seal(attempt(7)), AttemptStage::Forgotten);
    assert!(ledger.begin(attempt(8)).is_ok());
}
