//! Tests of the trace of one request through the logs of several nodes.

use pollenlever::tool::trace::RequestTrace;

/// Log of the node that received the request.
const OWNER_LOG: &str = "2026-01-01T00:00:01Z [INFO] event=node-started node=1@a name=o\n\
    2026-01-01T00:00:05Z [INFO] event=attempt-repeated request=r gate=2@b outcome=target-error\n\
    2026-01-01T00:00:06Z [INFO] event=request-ended request=r outcome=target-error\n\
    2026-01-01T00:00:06Z [INFO] event=request-ended request=rr outcome=answered\n";
/// Log of a node whose clock is ahead.
const GATE_LOG: &str = "2026-01-01T00:00:01Z [INFO] event=node-started node=2@b name=g\n\
    2026-01-01T00:00:08Z [INFO] event=run-ended request=r result=target-error\n\
    2026-01-01T00:00:09Z [INFO] event=request-ended request=r.c outcome=deadline-passed\n";

fn events(trace: &RequestTrace) -> Vec<(&str, &str)> {
    trace.lines.iter().map(|it| (it.event.as_str(), it.request.as_str())).collect()
}

#[test]
fn clock_differences_do_not_reorder_cause_and_effect() {
    let trace = RequestTrace::collect("r", &[("o", OWNER_LOG.into()), ("g", GATE_LOG.into())]);
    let expected = [
        ("attempt-repeated", "r"),
        ("request-ended", "r.c"),
        ("run-ended", "r"),
        ("request-ended", "r"),
    ];
    assert_eq!(events(&trace), expected);
    assert!(trace.missing.is_empty());
}

#[test]
fn gates_whose_logs_are_missing_are_listed() {
    let trace = RequestTrace::collect("r", &[("o", OWNER_LOG.into())]);
    assert_eq!(trace.missing, ["2@b"]);
}

#[test]
fn request_without_log_lines_has_an_empty_trace() {
    let trace = RequestTrace::collect("x", &[("o", OWNER_LOG.into()), ("g", GATE_LOG.into())]);
    assert_eq!(trace, RequestTrace::default());
}

#[test]
fn malformed_lines_are_skipped() {
    let text = "event=\u{0}\nevent=run-ended\n\nrequest=r\nevent=run-ended request=r.c x";
    let trace = RequestTrace::collect("r", &[("o", text.to_owned())]);
    assert_eq!(events(&trace), [("run-ended", "r.c")]);
}
