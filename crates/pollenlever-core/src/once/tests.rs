use std::time::Duration;

use bytes::Bytes;

use super::{AttemptState, HomeRecord, HomeTable, KeyMint, RecordState, SealTable};
use crate::answer::{Answer, ErrorKind};
use crate::id::{AttemptId, NodeId, RequestKey};

/// Makes each case a test of its own.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    sealed_attempt_does_not_begin => {
        let mut table = SealTable::new(8, 100);
        assert!(matches!(table.seal(attempt(5)), AttemptState::Sealed(_)));
        assert!(matches!(table.register(attempt(5)), Err(AttemptState::Sealed(_))));
    };
    running_attempt_is_not_sealed => {
        let mut table = SealTable::new(8, 100);
        table.register(attempt(5)).unwrap();
        table.set_state(attempt(5), AttemptState::Running);
        assert!(matches!(table.seal(attempt(5)), AttemptState::Running));
    };
    forgotten_attempt_is_neither_run_nor_called_sealed => {
        let mut table = SealTable::new(2, 100);
        for seq in 1..=4 {
            table.register(attempt(seq)).unwrap();
            table.set_state(attempt(seq), AttemptState::Unknown);
        }
        assert!(matches!(table.register(attempt(1)), Err(AttemptState::Unknown)));
        assert!(matches!(table.seal(attempt(2)), AttemptState::Unknown));
        table.register(attempt(5)).unwrap();
    };
    active_attempt_is_not_forgotten => {
        let mut table = SealTable::new(2, 100);
        table.register(attempt(1)).unwrap();
        table.set_state(attempt(1), AttemptState::Running);
        for seq in 2..=9 {
            table.register(attempt(seq)).unwrap();
            table.set_state(attempt(seq), AttemptState::Unknown);
        }
        assert!(matches!(table.seal(attempt(1)), AttemptState::Running));
    };
    attempts_of_a_gone_sender_stay_refused_and_later_ones_begin => {
        let mut table = SealTable::new(8, 100);
        assert!(matches!(table.seal(attempt(5)), AttemptState::Sealed(_)));
        table.forget_sender(home());
        assert!(matches!(table.register(attempt(5)), Err(AttemptState::Unknown)));
        assert!(matches!(table.register(attempt(4)), Err(AttemptState::Unknown)));
        table.register(attempt(6)).unwrap();
    };
    answers_over_the_limit_are_dropped_oldest_first => {
        let mut table = SealTable::new(8, 100);
        for seq in 1..=2 {
            table.register(attempt(seq)).unwrap();
            table.keep_answer(attempt(seq), Answer::from_target(200, Vec::new()), Bytes::from(vec![0; 60]));
        }
        assert!(matches!(table.seal(attempt(1)), AttemptState::Unknown));
        assert!(matches!(table.seal(attempt(2)), AttemptState::Ended(..)));
    };
    own_key_is_known_and_a_forged_one_is_not => {
        let mut mint = KeyMint::new(home(), 7);
        let key = mint.mint(Duration::from_secs(1));
        assert!(mint.is_own(key));
        assert!(!mint.is_own(RequestKey { minted_ms: key.minted_ms + 1, ..key }));
        assert!(!mint.is_own(RequestKey { tag: key.tag ^ 1, ..key }));
    };
    dropped_record_refuses_older_keys_of_its_service => {
        let mut mint = KeyMint::new(home(), 7);
        let older = mint.mint(Duration::from_secs(1));
        let key = mint.mint(Duration::from_secs(2));
        let newer = mint.mint(Duration::from_secs(3));
        let mut table = HomeTable::default();
        table.insert(key, ended(Duration::from_secs(10)));
        table.expire(Duration::from_secs(10), Duration::from_secs(11));
        assert!(table.get_mut(key).is_none());
        assert!(table.is_dropped(&"charging".into(), key));
        assert!(table.is_dropped(&"charging".into(), older));
        assert!(!table.is_dropped(&"charging".into(), newer));
        assert!(!table.is_dropped(&"other".into(), key));
    };
    running_record_outlives_its_retention => {
        let key = KeyMint::new(home(), 7).mint(Duration::from_secs(1));
        let mut table = HomeTable::default();
        let running = HomeRecord { state: RecordState::Running, ..ended(Duration::from_secs(10)) };
        table.insert(key, running);
        table.expire(Duration::from_secs(10), Duration::from_secs(11));
        assert!(table.get_mut(key).is_some());
    };
}

fn home() -> NodeId {
    "127.0.0.1:7101@1f".parse().unwrap()
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId { sender: home(), seq }
}

fn ended(expires: Duration) -> HomeRecord {
    let answer = Answer::from_error(ErrorKind::OutcomeUnknown, None);
    HomeRecord {
        service: "charging".into(),
        digest: 1,
        state: RecordState::Ended(answer, Bytes::new()),
        waiters: Vec::new(),
        expires,
    }
}
