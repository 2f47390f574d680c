//! The burn report as a self-contained HTML page.

use std::fmt::Write;

use super::table::{cells, coverage, heading, longest_window_text, reasons, warnings};
use super::{BurnReport, plot};

const STYLE: &str = "\
body { font: 14px/1.4 sans-serif; color: #333; background: #fff; margin: 2em; max-width: 80em }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: .3em .8em; text-align: left; border-bottom: 1px solid #ddd; white-space: nowrap }
.missing { border-left: .4em solid #b30000; padding: .5em 1em; background: #fdeeee }
.breach td { background: #fdeeee }
svg { width: 100%; height: auto }
";

/// Renders the HTML page.
pub(super) fn render(report: &BurnReport) -> String {
    let mut page = String::from("<!doctype html>\n<html lang=\"en\">\n<head>\n");
    page.push_str("<meta charset=\"utf-8\">\n<title>Service-level burn</title>\n");
    let _ =
        writeln!(page, "<style>\n{STYLE}</style>\n</head>\n<body>\n<h1>Service-level burn</h1>");
    let _ = writeln!(page, "<p>{}</p>", coverage(report));
    write_warnings(&mut page, report);
    let _ = writeln!(page, "<p><strong>{}</strong></p>", escape(&report.headline()));
    let _ = writeln!(page, "<h2>Burn rates</h2>\n{}", plot::render(report));
    write_kinds(&mut page, report);
    write_reasons(&mut page, report);
    page.push_str("</body>\n</html>\n");
    page
}

/// Escapes text for use in HTML elements and attributes.
pub(super) fn escape(text: &str) -> String {
    let mut buf = String::with_capacity(text.len());
    for it in text.chars() {
        match it {
            '&' => buf.push_str("&amp;"),
            '<' => buf.push_str("&lt;"),
            '>' => buf.push_str("&gt;"),
            '"' => buf.push_str("&quot;"),
            '\'' => buf.push_str("&#39;"),
            it => buf.push(it),
        }
    }
    buf
}

fn write_warnings(page: &mut String, report: &BurnReport) {
    let warnings = warnings(report);
    if warnings.is_empty() {
        return;
    }
    page.push_str("<div class=\"missing\">\n");
    for warning in warnings {
        let _ = writeln!(page, "<p>{}</p>", escape(&warning));
    }
    page.push_str("<p>Their calls are in none of the counts below.</p>\n</div>\n");
}

fn write_kinds(page: &mut String, report: &BurnReport) {
    page.push_str("<h2>Kinds of request</h2>\n<table>\n");
    write_row(page, "", "th", &heading());
    for row in &report.rows {
        let class = if row.outlook.is_breach() { " class=\"breach\"" } else { "" };
        write_row(page, class, "td", &cells(row));
    }
    page.push_str("</table>\n");
}

fn write_reasons(page: &mut String, report: &BurnReport) {
    let lines = reasons(report);
    if lines.is_empty() {
        return;
    }
    let _ = writeln!(page, "<h2>Bad by reason over {}</h2>\n<table>", longest_window_text());
    write_row(page, "", "th", &["service", "kind", "reason", "calls"]);
    for line in lines {
        write_row(page, "", "td", &line);
    }
    page.push_str("</table>\n");
}

fn write_row(page: &mut String, class: &str, tag: &str, cells: &[impl AsRef<str>]) {
    let _ = write!(page, "<tr{class}>");
    for cell in cells {
        let _ = write!(page, "<{tag}>{}</{tag}>", escape(cell.as_ref()));
    }
    page.push_str("</tr>\n");
}
