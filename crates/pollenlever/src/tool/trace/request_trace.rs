use std::collections::BTreeSet;

use serde::Serialize;

use super::LogLine;

/// All log lines about one request and the calls made for it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RequestTrace {
    /// The lines, in the order of cause and effect.
    pub lines: Vec<LogLine>,
    /// Gates (nodes beside the targets to which the request was sent) without a log among the
    /// files.
    pub missing: Vec<String>,
}

impl RequestTrace {
    /// Collects the lines about `request` and its calls from the text of several files.
    ///
    /// The clocks of nodes differ, so lines are sorted by time only if they do not depend on each
    /// other. The end of a run is placed after the calls made in it, and the end of a request after
    /// its runs.
    ///
    /// ```
    /// use pollenlever::tool::trace::RequestTrace;
    /// let owner = "2026-01-01T00:00:01Z event=request-ended request=a gate=1 outcome=answered";
    /// let gate = "2026-01-01T00:00:02Z event=run-ended request=a result=answered";
    /// let trace = RequestTrace::collect("a", &[("o", owner.into()), ("g", gate.into())]);
    /// assert_eq!(trace.lines[0].event, "run-ended");
    /// ```
    pub fn collect(request: &str, files: &[(&str, String)]) -> RequestTrace {
        let mut lines = Vec::new();
        let mut nodes = BTreeSet::new();
        for (file, text) in files {
            for line in text.lines() {
                nodes.extend(started_node(line));
                let line = LogLine::parse(file, line);
                lines.extend(line.filter(|it| belongs_to_request(&it.request, request)));
            }
        }
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let missing = gates_without_log(&lines, &nodes);
        RequestTrace { lines: sort_causally(lines), missing }
    }
}

/// Returns the node that logged its start in this line, if it is such a line.
fn started_node(line: &str) -> Option<String> {
    let rest = &line[line.find("event=node-started ")?..];
    let node = rest.split(' ').find_map(|it| it.strip_prefix("node="))?;
    Some(node.to_owned())
}

/// Returns whether `id` is that of the request or of a call made for it. A call whose id does not
/// begin with the id of its request is not recognized.
fn belongs_to_request(id: &str, request: &str) -> bool {
    id.strip_prefix(request).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn gates_without_log(lines: &[LogLine], nodes: &BTreeSet<String>) -> Vec<String> {
    let gates: BTreeSet<&str> = lines.iter().filter_map(|it| it.field("gate")).collect();
    gates.into_iter().filter(|it| !nodes.contains(*it)).map(str::to_owned).collect()
}

/// Moves each line after those that it depends on.
fn sort_causally(lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut remaining = lines;
    let mut ordered = Vec::with_capacity(remaining.len());
    while !remaining.is_empty() {
        let has_no_pending_cause =
            |line: &LogLine| !remaining.iter().any(|it| must_precede(it, line));
        // Dependencies between lines have no cycles, so one line always has none left.
        let next = remaining.iter().position(has_no_pending_cause).unwrap_or(0);
        ordered.push(remaining.remove(next));
    }
    ordered
}

/// Returns whether `a` must come before `b`, regardless of their times.
fn must_precede(a: &LogLine, b: &LogLine) -> bool {
    let is_call = a.request != b.request && belongs_to_request(&a.request, &b.request);
    match b.event.as_str() {
        "run-ended" => is_call,
        "request-ended" | "caller-hung-up" => {
            is_call || (a.request == b.request && !ends_request(a))
        }
        _ => false,
    }
}

fn ends_request(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "request-ended" | "caller-hung-up")
}
