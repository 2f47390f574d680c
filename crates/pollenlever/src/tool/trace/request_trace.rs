use std::collections::BTreeSet;

use serde::Serialize;

use super::LogLine;

/// All that is known about one request and the calls made for it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RequestTrace {
    /// Lines in the order of cause and effect.
    pub lines: Vec<LogLine>,
    /// Gates that the request went to and whose logs are not among the files.
    pub missing: Vec<String>,
}

impl RequestTrace {
    /// Collects the lines about `request` and its calls from the text of several files.
    ///
    /// Clocks of nodes differ, so the time of day only decides between lines that do not depend on
    /// each other: the end of a run follows the calls made in it, and the end of a request follows
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
                lines.extend(line.filter(|it| is_part_of(&it.request, request)));
            }
        }
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let missing = missing(&lines, &nodes);
        RequestTrace { lines: in_order(lines), missing }
    }
}

/// The node that a line of its start names.
fn started_node(line: &str) -> Option<String> {
    let rest = &line[line.find("event=node-started ")?..];
    let node = rest.split(' ').find_map(|it| it.strip_prefix("node="))?;
    Some(node.to_owned())
}

/// Whether an id is that of the request or of a call made for it. Calls whose ids do not begin with
/// that of their request cannot be joined.
fn is_part_of(id: &str, request: &str) -> bool {
    id.strip_prefix(request).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn missing(lines: &[LogLine], nodes: &BTreeSet<String>) -> Vec<String> {
    let gates: BTreeSet<&str> = lines.iter().filter_map(|it| it.field("gate")).collect();
    gates.into_iter().filter(|it| !nodes.contains(*it)).map(str::to_owned).collect()
}

/// Moves each line behind those that it depends on.
fn in_order(lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut rest = lines;
    let mut ordered = Vec::with_capacity(rest.len());
    while !rest.is_empty() {
        let is_free = |line: &LogLine| !rest.iter().any(|it| precedes(it, line));
        // Lines never wait for each other in a circle, so one is always free.
        let next = rest.iter().position(is_free).unwrap_or(0);
        ordered.push(rest.remove(next));
    }
    ordered
}

/// Whether `a` is a cause of `b`, whatever their clocks say.
fn precedes(a: &LogLine, b: &LogLine) -> bool {
    let is_call = a.request != b.request && is_part_of(&a.request, &b.request);
    match b.event.as_str() {
        "run-ended" => is_call,
        "request-ended" | "caller-hung-up" => is_call || (a.request == b.request && !is_end(a)),
        _ => false,
    }
}

fn is_end(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "request-ended" | "caller-hung-up")
}
