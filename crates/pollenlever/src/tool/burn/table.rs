//! The burn report as a text table.

use std::fmt::Write;
use std::time::Duration;

use super::{BurnReport, BurnRow};
use crate::telemetry::MultiWindowCounts;
use crate::tool::output::{Table, duration_text};

/// Renders the report as text.
pub(super) fn render(report: &BurnReport) -> String {
    let mut text = format!("{}\n", coverage(report));
    for line in warnings(report) {
        text.push_str(&format!("{line}\n"));
    }
    let _ = writeln!(text, "{}\n\n{}", report.headline(), kinds_table(report));
    let reasons = reasons(report);
    if !reasons.is_empty() {
        let _ = writeln!(
            text,
            "bad by reason over {}\n\n{}",
            longest_window_text(),
            reasons_table(&reasons)
        );
    }
    text
}

/// Returns one sentence that says how many nodes the counts cover.
pub(super) fn coverage(report: &BurnReport) -> String {
    let answered = format!("{} of {} nodes answered", report.answered(), report.nodes);
    match report.recently_started {
        0 => answered,
        count => format!(
            "{answered}; {count} of them started within {}, calls before that are not counted",
            longest_window_text()
        ),
    }
}

/// Returns a line for each node and region that is missing from the counts.
pub(super) fn warnings(report: &BurnReport) -> Vec<String> {
    let nodes = report.missing.iter().map(|it| {
        let service = it.service.as_deref().unwrap_or("no target");
        format!(
            "NOT REACHED: {} in {}, {} ({service}): {}",
            it.entry, it.region, it.zone, it.reason
        )
    });
    let regions = report.regions_without_answer.iter();
    nodes.chain(regions.map(|it| format!("NO ANSWER FROM REGION: {it}"))).collect()
}

/// Returns the column headings of the table of request kinds.
pub(super) fn heading() -> Vec<String> {
    let long = longest_window_text();
    let counts = [format!("good {long}"), format!("bad {long}"), "budget left".to_owned()];
    let rates = MultiWindowCounts::WINDOWS_S.map(|it| format!("burn {}", window_text(it)));
    let names = ["service", "kind", "objective"].map(str::to_owned);
    let outlook = ["outlook".to_owned()];
    names.into_iter().chain(counts).chain(rates).chain(outlook).collect()
}

/// Returns the cells of one request kind, in the order of [`heading`].
pub(super) fn cells(row: &BurnRow) -> Vec<String> {
    let objective = row.objective.map_or("-".to_owned(), |it| {
        format!("{} % / {}", percent(it.good_ratio), window_text(it.window_s))
    });
    let longest_window = row.longest_window();
    let budget = row.budget_left.map_or("-".to_owned(), |it| format!("{:.1} %", it * 100.0));
    let rates = MultiWindowCounts::WINDOWS_S.map(|window_s| {
        let window = row.windows.iter().find(|it| it.window_s == window_s);
        window.and_then(|it| it.burn_rate).map_or("-".to_owned(), |it| format!("{it:.2}"))
    });
    let names = [row.service.clone(), row.kind.clone(), objective];
    let counts = [longest_window.good.to_string(), longest_window.bad.to_string(), budget];
    names.into_iter().chain(counts).chain(rates).chain([row.outlook.to_string()]).collect()
}

/// Returns service, kind, reason and count of the bad calls over the longest window.
pub(super) fn reasons(report: &BurnReport) -> Vec<[String; 4]> {
    let mut lines = Vec::new();
    for row in &report.rows {
        let mut by_reason: Vec<_> = row.longest_window().bad_by_reason.into_iter().collect();
        by_reason.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        for (reason, count) in by_reason {
            lines.push([row.service.clone(), row.kind.clone(), reason, count.to_string()]);
        }
    }
    lines
}

/// Formats the length of a window, such as `6 h`.
pub(super) fn window_text(seconds: u64) -> String {
    duration_text(Duration::from_secs(seconds))
}

/// Formats the length of the longest window for which nodes keep counts.
pub(super) fn longest_window_text() -> String {
    window_text(MultiWindowCounts::WINDOWS_S[MultiWindowCounts::WINDOWS_S.len() - 1])
}

/// Formats a ratio in percent, without trailing zeros.
fn percent(ratio: f64) -> String {
    let text = format!("{:.4}", ratio * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn kinds_table(report: &BurnReport) -> Table {
    let mut table = Table::default();
    table.add_row(heading());
    for row in &report.rows {
        table.add_row(cells(row));
    }
    table
}

fn reasons_table(reasons: &[[String; 4]]) -> Table {
    let mut table = Table::new(["service", "kind", "reason", "calls"]);
    for line in reasons {
        table.add_row(line.clone());
    }
    table
}
