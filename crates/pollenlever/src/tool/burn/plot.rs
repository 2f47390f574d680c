//! The burn rates as an SVG bar chart.

use std::fmt::Write;

use super::html::escape;
use super::table::window_text;
use super::{BurnReport, BurnRow};
use crate::telemetry::MultiWindowCounts;

/// Maximum number of request kinds in the plot; the most urgent ones are shown.
const MAX_ROWS: usize = 12;
const WIDTH: f64 = 900.0;
const LEFT_MARGIN: f64 = 220.0;
const RIGHT_MARGIN: f64 = 70.0;
const TOP_MARGIN: f64 = 46.0;
const BOTTOM_MARGIN: f64 = 30.0;
const BAR_HEIGHT: f64 = 9.0;
const BAR_STEP: f64 = 11.0;
const ROW_GAP: f64 = 14.0;
/// Lowest and highest burn rate of the logarithmic axis.
const AXIS_RANGE: (f64, f64) = (0.01, 1000.0);
const AXIS_TICKS: [(f64, &str); 6] =
    [(0.01, "0.01"), (0.1, "0.1"), (1.0, "1"), (10.0, "10"), (100.0, "100"), (1000.0, "1000")];
/// Bar colours of the windows, from the shortest to the longest.
const COLOURS: [&str; 4] = ["#b30000", "#e34a33", "#fc8d59", "#c9a66b"];

/// Draws the burn rates by request kind and window. At a burn rate of 1, marked by a line, the
/// budget lasts exactly for the window of the objective.
pub(super) fn render(report: &BurnReport) -> String {
    let rows = &report.rows[..report.rows.len().min(MAX_ROWS)];
    let row_height = BAR_STEP * COLOURS.len() as f64 + ROW_GAP;
    let bottom = TOP_MARGIN + row_height * rows.len() as f64;
    let height = bottom + BOTTOM_MARGIN;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" role=\"img\" \
         aria-label=\"Burn rates by kind of request and window\" font-family=\"sans-serif\" \
         font-size=\"12\" fill=\"#333\">\n"
    );
    draw_legend(&mut svg);
    draw_axis(&mut svg, bottom);
    for (index, row) in rows.iter().enumerate() {
        draw_row(&mut svg, row, TOP_MARGIN + row_height * index as f64);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_legend(svg: &mut String) {
    const STEP: f64 = 90.0;
    for (index, (colour, window_s)) in COLOURS.iter().zip(MultiWindowCounts::WINDOWS_S).enumerate()
    {
        let x = LEFT_MARGIN + STEP * index as f64;
        let window = window_text(window_s);
        let _ =
            writeln!(svg, "<rect x=\"{x}\" y=\"6\" width=\"10\" height=\"10\" fill=\"{colour}\"/>");
        let _ = writeln!(svg, "<text x=\"{}\" y=\"15\">{window}</text>", x + 15.0);
    }
}

fn draw_axis(svg: &mut String, bottom: f64) {
    for (rate, label) in AXIS_TICKS {
        let x = axis_x(rate);
        let (colour, width) = if rate == 1.0 { ("#333", 1.5) } else { ("#ddd", 1.0) };
        let _ = writeln!(
            svg,
            "<line x1=\"{x:.1}\" y1=\"{TOP_MARGIN}\" x2=\"{x:.1}\" y2=\"{bottom}\" \
             stroke=\"{colour}\" stroke-width=\"{width}\"/>"
        );
        let y = bottom + 16.0;
        let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y}\" text-anchor=\"middle\">{label}</text>");
    }
    let x = axis_x(1.0);
    let y = TOP_MARGIN - 8.0;
    let _ = writeln!(
        svg,
        "<text x=\"{x:.1}\" y=\"{y}\" text-anchor=\"middle\">1 = budget lasts exactly</text>"
    );
}

fn draw_row(svg: &mut String, row: &BurnRow, top: f64) {
    let middle = top + BAR_STEP * COLOURS.len() as f64 / 2.0 + 4.0;
    let name = escape(&row.name());
    let x = LEFT_MARGIN - 10.0;
    let _ = writeln!(svg, "<text x=\"{x}\" y=\"{middle}\" text-anchor=\"end\">{name}</text>");
    for (index, (colour, window_s)) in COLOURS.iter().zip(MultiWindowCounts::WINDOWS_S).enumerate()
    {
        let window = row.windows.iter().find(|it| it.window_s == window_s);
        let rate = window.and_then(|it| it.burn_rate);
        draw_bar(svg, rate, colour, top + BAR_STEP * index as f64);
    }
}

fn draw_bar(svg: &mut String, rate: Option<f64>, colour: &str, y: f64) {
    let width = rate.map_or(0.0, |it| axis_x(it) - LEFT_MARGIN);
    let _ = writeln!(
        svg,
        "<rect x=\"{LEFT_MARGIN}\" y=\"{y}\" width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" \
         fill=\"{colour}\"/>"
    );
    let label = rate.map_or("no calls".to_owned(), |it| format!("{it:.2}"));
    let (x, baseline) = (LEFT_MARGIN + width + 4.0, y + BAR_HEIGHT - 1.0);
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{baseline}\" font-size=\"9\">{label}</text>");
}

fn axis_x(rate: f64) -> f64 {
    let (low, high) = AXIS_RANGE;
    let axis_fraction = (rate.clamp(low, high) / low).log10() / (high / low).log10();
    LEFT_MARGIN + axis_fraction * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
}
