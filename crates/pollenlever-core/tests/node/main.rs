//! Tests of one node, driven event by event; messages to itself are delivered at once.

mod driver;

use std::time::Duration;

use pollenlever_core::answer::{ErrorKind, Outcome};
use pollenlever_core::id::RequestKey;
use pollenlever_core::message::{PeerReply, PeerRequest, SealReply};
use pollenlever_core::node::NodeSettings;
use pollenlever_core::policy::{Action, Call, Event, RunResult, SendFailure, TargetNotice};

use driver::{Driver, call, charge, config, peer};

/// Makes each case a test of its own.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    call_runs_and_is_answered => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.end_run(answered());
        assert_eq!(driver.answer(1).outcome, Outcome::Ran);
    };
    charge_without_key_is_refused => {
        assert_eq!(refused(charge(None)), ErrorKind::KeyRequired);
    };
    unknown_service_is_refused => {
        assert_eq!(refused(Call { service: "x".into(), ..call("/get") }), ErrorKind::UnknownService);
    };
    call_of_an_unknown_parent_is_refused => {
        let parent = Some("127.0.0.1:7101@1f~2a".parse().unwrap());
        assert_eq!(refused(Call { parent, ..call("/get") }), ErrorKind::ParentEnded);
    };
    forged_key_is_refused => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.call(1, charge(Some(RequestKey { tag: key.tag ^ 1, ..key })));
        assert_eq!(driver.error(1), ErrorKind::KeyForeign);
    };
    old_key_is_refused_as_unknown => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.advance(config().retention);
        driver.call(1, charge(Some(key)));
        assert_eq!(driver.error(1), ErrorKind::KeyExpired);
        assert_eq!(driver.answer(1).outcome, Outcome::Unknown);
    };
    old_key_stays_refused_when_retention_grows => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        driver.end_run(answered());
        driver.advance(config().retention);
        let retention = config().retention * 10;
        driver.event(Event::Config(pollenlever_core::config::ServiceConfig { retention, ..config() }.into()));
        driver.call(2, charge(Some(key)));
        assert_eq!(driver.error(2), ErrorKind::KeyExpired);
        assert_eq!(driver.run_count(), 1);
    };
    key_with_other_content_is_refused => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        driver.end_run(answered());
        driver.call(2, Call { body: "other".into(), ..charge(Some(key)) });
        assert_eq!(driver.error(2), ErrorKind::KeyReused);
    };
    resend_attaches_and_gets_the_same_answer => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        driver.call(2, charge(Some(key)));
        driver.end_run(answered());
        driver.call(3, charge(Some(key)));
        assert_eq!([driver.answer(1), driver.answer(2)], [driver.answer(3), driver.answer(3)]);
        assert_eq!(driver.run_count(), 1);
    };
    caller_that_hangs_up_does_not_stop_its_charge => {
        let mut driver = Driver::new();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        driver.event(Event::CallCancelled(1));
        driver.end_run(answered());
        driver.call(2, charge(Some(key)));
        assert_eq!(driver.answer(2).outcome, Outcome::Ran);
        assert_eq!(driver.run_count(), 1);
    };
    caller_that_hangs_up_stops_its_idempotent_request => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.event(Event::CallCancelled(1));
        assert!(driver.actions.iter().any(|it| matches!(it, Action::CancelRun(_))));
    };
    call_is_answered_at_its_deadline => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.advance(Duration::from_secs(2));
        assert_eq!(driver.error(1), ErrorKind::DeadlinePassed);
        assert!(driver.answer(1).retry_after.is_some());
    };
    request_that_waits_past_its_deadline_is_not_started => {
        let mut driver = Driver::new();
        driver.call(1, Call { timeout: Some(Duration::from_secs(1)), ..call("/get") });
        driver.call(2, Call { timeout: Some(Duration::from_millis(10)), body: "b".into(), ..call("/get") });
        driver.advance(Duration::from_millis(500));
        driver.end_run(answered());
        assert_eq!(driver.run_count(), 1);
    };
    equal_call_after_a_failure_joins_its_chain => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.end_run(RunResult::TimedOut);
        driver.call(2, call("/get"));
        driver.end_run(answered());
        assert_eq!(driver.chain(1), driver.chain(2));
    };
    equal_call_after_an_answer_is_a_new_chain => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.end_run(answered());
        driver.call(2, call("/get"));
        driver.end_run(answered());
        assert_ne!(driver.chain(1), driver.chain(2));
    };
    resends_under_a_chain_are_counted => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.end_run(answered());
        let chain = Some(driver.chain(1));
        for id in 2..=3 {
            driver.call(id, Call { chain, ..call("/get") });
            driver.end_run(answered());
        }
        driver.call(4, Call { chain, ..call("/get") });
        assert_eq!(driver.error(4), ErrorKind::RetryRefused);
        assert_eq!(driver.answer(4).outcome, Outcome::Unknown);
    };
    call_inside_a_chain_keeps_chain_and_deadline => {
        let mut driver = Driver::new();
        driver.announce_slots(2);
        driver.call(1, call("/get"));
        let parent = Some(driver.last_attempt());
        driver.call(2, Call { parent, body: "child".into(), ..call("/get") });
        driver.advance(Duration::from_secs(2));
        assert_eq!(driver.error(2), ErrorKind::DeadlinePassed);
        assert_eq!(driver.chain(1), driver.chain(2));
    };
    nested_resend_without_a_key_takes_a_grant => {
        let mut driver = Driver::new();
        driver.announce_slots(9);
        driver.call(1, call("/get"));
        let parent = Some(driver.last_attempt());
        for id in 2..=5 {
            driver.call(id, Call { parent, body: "child".into(), ..call("/get") });
        }
        assert_eq!(driver.run_count(), 4);
        assert_eq!(driver.error(5), ErrorKind::RetryRefused);
    };
    chain_that_is_too_deep_is_refused => {
        let mut driver = Driver::new();
        driver.announce_slots(99);
        driver.call(1, call("/get"));
        for id in 2..=18 {
            let parent = Some(driver.last_attempt());
            driver.call(id, Call { parent, body: id.to_string().into(), ..call("/get") });
        }
        assert_eq!(driver.error(18), ErrorKind::DepthExceeded);
    };
    leaving_target_gets_no_new_work => {
        let mut driver = Driver::new();
        driver.event(Event::Target(TargetNotice::Leaving));
        driver.call(1, call("/get"));
        assert_eq!(driver.run_count(), 0);
        assert_eq!(driver.answer(1).outcome, Outcome::NotRun);
    };
    leaving_node_ends_after_its_last_answer => {
        let mut driver = Driver::new();
        driver.call(1, call("/get"));
        driver.event(Event::Leave);
        driver.advance(NodeSettings::default().leave_notice / 2);
        driver.end_run(answered());
        assert!(!driver.actions.contains(&Action::LeaveCompleted));
        driver.advance(NodeSettings::default().leave_notice);
        assert_eq!(driver.actions.iter().filter(|it| **it == Action::LeaveCompleted).count(), 1);
    };
    lost_attempt_is_not_sent_again_until_it_is_sealed => {
        let mut driver = Driver::with_peer();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        let (attempt, _) = driver.last_send();
        driver.event(Event::SendFailed(attempt, SendFailure::Lost));
        let (seal, req) = driver.last_send();
        assert!(matches!(req, PeerRequest::Seal(_)));
        driver.event(Event::Reply(seal, PeerReply::Seal(SealReply::Running), "".into()));
        driver.advance(Duration::from_millis(200));
        let (seal, req) = driver.last_send();
        assert!(matches!(req, PeerRequest::Seal(_)));
        driver.event(Event::Reply(seal, PeerReply::Seal(SealReply::Sealed), "".into()));
        assert!(matches!(driver.last_send().1, PeerRequest::Attempt(_)));
    };
    lost_attempt_at_a_gone_gate_is_unknown_for_ever => {
        let mut driver = Driver::with_peer();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        let (attempt, _) = driver.last_send();
        driver.event(Event::SendFailed(attempt, SendFailure::Lost));
        driver.event(Event::MembersRemoved(vec![peer()]));
        driver.call(2, charge(Some(key)));
        assert_eq!([driver.error(1), driver.error(2)], [ErrorKind::OutcomeUnknown; 2]);
    };
    attempt_that_was_not_sent_is_sent_again => {
        let mut driver = Driver::with_peer();
        let key = driver.issue_key();
        driver.call(1, charge(Some(key)));
        let (attempt, _) = driver.last_send();
        driver.event(Event::SendFailed(attempt, SendFailure::NotSent));
        let (again, req) = driver.last_send();
        assert!(matches!(req, PeerRequest::Attempt(_)) && again != attempt);
    };
    key_whose_home_is_gone_is_unknown => {
        let mut driver = Driver::new();
        let key = RequestKey { home: peer(), minted_ms: 1, seq: 1, tag: 1 };
        driver.call(1, charge(Some(key)));
        for _ in 0..NodeSettings::default().handover_rounds {
            let (forward, req) = driver.last_send();
            assert!(matches!(req, PeerRequest::Forward(_)));
            let refused = PeerReply::Refused(ErrorKind::WrongIncarnation);
            driver.event(Event::Reply(forward, refused, "".into()));
            driver.advance(NodeSettings::default().handover_retry_interval);
        }
        assert_eq!(driver.error(1), ErrorKind::HomeGone);
        assert_eq!(driver.answer(1).outcome, Outcome::Unknown);
    };
    resend_to_a_home_whose_queue_is_full_is_unknown => {
        let mut driver = Driver::new();
        let key = RequestKey { home: peer(), ..driver.issue_key() };
        driver.call(1, charge(Some(key)));
        let (forward, _) = driver.last_send();
        let refused = PeerReply::Refused(ErrorKind::QueueFull);
        driver.event(Event::Reply(forward, refused, "".into()));
        assert_eq!(driver.error(1), ErrorKind::QueueFull);
        assert_eq!(driver.answer(1).outcome, Outcome::Unknown);
        assert!(driver.answer(1).retry_after.is_some());
    };
    suspect_that_waits_is_refused_once_it_reaches_the_crash_limit => {
        let mut driver = Driver::new();
        driver.announce_slots(2);
        driver.call(1, call("/get"));
        driver.receive_crash_report(&suspect(), 1);
        driver.call(2, suspect());
        driver.receive_crash_report(&suspect(), 2);
        driver.end_run(answered());
        assert_eq!(driver.error(2), ErrorKind::Suspect);
        assert_eq!(driver.run_count(), 1);
    };
    equal_call_after_another_was_answered_is_a_new_chain => {
        let mut driver = Driver::new();
        driver.announce_slots(2);
        driver.call(1, call("/get"));
        let (first, _) = driver.last_run();
        driver.call(2, call("/get"));
        driver.event(Event::RunEnded(first, RunResult::TimedOut));
        driver.end_run(answered());
        driver.call(3, call("/get"));
        driver.end_run(answered());
        assert!(![driver.chain(1), driver.chain(2)].contains(&driver.chain(3)));
    };
    refused_call_of_a_known_kind_is_counted => {
        let mut driver = Driver::new();
        driver.call(1, charge(None));
        let counted = |it: &Action| matches!(it, Action::RecordCall(it) if !it.is_good);
        assert!(driver.actions.iter().any(counted));
    };
}

/// Error with which a fresh node refuses the call.
fn refused(call: Call) -> ErrorKind {
    let mut driver = Driver::new();
    driver.call(1, call);
    driver.error(1)
}

fn suspect() -> Call {
    Call { body: "crash".into(), ..call("/get") }
}

fn answered() -> RunResult {
    RunResult::Answered { status: 200, headers: Vec::new(), body: "ok".into() }
}
