//! Tests of the metrics and windowed counts of a node.

use std::time::Duration;

use pollenlever::telemetry::{MultiWindowCounts, NodeBurn, NodeTelemetry, Telemetry, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::{RequestKind, ServiceConfig};
use pollenlever_core::policy::Observation;

fn call() -> Observation {
    Observation {
        service: "balance".into(),
        kind: "check".into(),
        workspace: "ateneo".into(),
        status: 200,
        error: None,
        latency: Duration::from_millis(3),
        is_good: true,
    }
}

fn refused(error: ErrorKind) -> Observation {
    Observation { status: error.response().status, error: Some(error), is_good: false, ..call() }
}

fn telemetry() -> NodeTelemetry {
    NodeTelemetry::new("lombardia", "lombardia-a", "127.0.0.1:7101@1f".parse().unwrap())
}

/// Declares a test for each case: a call, and the verdict and reason under which it is counted.
macro_rules! verdicts {
    ($($name:ident: $call:expr => $verdict:literal $reason:literal;)*) => {$(
        #[test]
        fn $name() {
            let telemetry = telemetry();
            telemetry.record_call(&$call);
            let text = telemetry.metrics_text();
            let counted = format!("verdict=\"{}\",reason=\"{}\"}} 1", $verdict, $reason);
            assert!(text.contains(&counted), "{text}");
        }
    )*};
}

verdicts! {
    complete_answer_within_the_deadline_is_good: call() => "good" "";
    late_answer_is_bad: Observation { is_good: false, ..call() } => "bad" "late";
    server_error_of_target_is_bad: Observation { status: 500, ..call() } => "bad" "target-error";
    shed_call_is_bad: refused(ErrorKind::Overloaded) => "bad" "overloaded";
    cancelled_call_is_bad: refused(ErrorKind::Cancelled) => "bad" "cancelled";
    caller_error_is_invalid: refused(ErrorKind::KeyRequired) => "invalid" "key-required";
}

/// Declares a test for each case: ages of good calls in seconds, and the expected sums by window.
macro_rules! windows {
    ($($name:ident: $ages:expr => $sums:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Duration::from_secs(10 * 24 * 3600);
            let mut counts = MultiWindowCounts::default();
            for age in $ages {
                counts.record_call(now - Duration::from_secs(age), Verdict::Good);
            }
            let sums: Vec<u64> = counts.windows(now).iter().map(|it| it.good).collect();
            assert_eq!(sums, $sums);
        }
    )*};
}

windows! {
    recent_call_is_in_every_window: [1] => [1, 1, 1, 1];
    old_calls_are_only_in_the_long_windows: [5 * 3600, 1800, 200] => [1, 2, 3, 3];
    calls_older_than_all_windows_are_not_counted: [4 * 24 * 3600] => [0, 0, 0, 0];
    reused_buckets_start_from_zero: [(3 + 1) * 24 * 3600, 360, 1] => [1, 2, 2, 2];
}

#[test]
fn undeclared_names_do_not_create_series() {
    let telemetry = telemetry();
    for number in 0..100 {
        let service = format!("made-up-{number}").into();
        telemetry.record_call(&Observation { service, ..refused(ErrorKind::UnknownService) });
        let kind = format!("made-up-{number}").into();
        telemetry.record_call(&Observation { kind, ..refused(ErrorKind::UnknownRequestKind) });
    }
    let kinds = telemetry.burn().kinds;
    let names: Vec<_> = kinds.iter().map(|it| (&*it.service, &*it.kind)).collect();
    assert_eq!(names, [("balance", "undeclared"), ("undeclared", "undeclared")]);
}

#[test]
fn number_of_kinds_is_bounded() {
    let telemetry = telemetry();
    for number in 0..2200 {
        telemetry.record_call(&Observation { kind: format!("k{number}").into(), ..call() });
    }
    let kinds = telemetry.burn().kinds;
    assert_eq!(kinds.len(), 2049);
    let other = kinds.iter().find(|it| it.service == "other").unwrap();
    assert_eq!(other.windows[0].good, 152);
}

#[test]
fn declared_kinds_are_reported_before_their_first_call() {
    let telemetry = telemetry();
    let kinds = vec![RequestKind { name: "check".into(), ..RequestKind::default() }];
    telemetry.set_objectives(&ServiceConfig {
        service: "balance".into(),
        kinds,
        ..ServiceConfig::default()
    });
    let burn: NodeBurn = serde_json::from_str(&telemetry.burn_json()).unwrap();
    assert_eq!(burn.kinds[0].objective.unwrap().good_ratio, 0.999);
    assert!(burn.kinds[0].windows.is_empty());
    assert!(!telemetry.metrics_text().contains("balance"));
}
