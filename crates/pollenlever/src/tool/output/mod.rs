//! Output of results as text tables, JSON or HTML.

mod report;
mod table;
mod text;

pub use report::{BoxReport, Report};
pub use table::Table;
pub use text::{duration_text, to_json};
