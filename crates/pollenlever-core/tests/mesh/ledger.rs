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
    assert!(ledger.begin(attempt(1)));
    assert_eq!(ledger.seal(attempt(1)), AttemptStage::Sealed);
    assert!(!ledger.start(attempt(1)));
}

#[test]
fn a_started_attempt_cannot_be_sealed() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)));
    assert!(ledger.start(attempt(1)));
    assert_eq!(ledger.seal(attempt(1)), AttemptStage::Started);
}

#[test]
fn an_attempt_can_begin_only_once() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)));
    assert!(!ledger.begin(attempt(1)));
}

#[test]
fn an_attempt_can_start_only_once() {
    let mut ledger = AttemptLedger::default();
    assert!(ledger.begin(attempt(1)));
    assert!(ledger.start(attempt(1)));
    assert!(!ledger.start(attempt(1)));
}
