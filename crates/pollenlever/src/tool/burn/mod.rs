//! Service-level burn over all nodes.

mod burn_report;
mod burn_row;
mod html;
mod merge;
mod missing_node;
mod outlook;
mod plot;
mod table;
mod window_burn;

pub use burn_report::BurnReport;
pub use burn_row::BurnRow;
pub use merge::{Declared, NodeAnswer, merge};
pub use missing_node::MissingNode;
pub use outlook::Outlook;
pub use window_burn::WindowBurn;
