//! The burn report: how fast each request kind uses up the error budget of its service-level
//! objective, summed over all nodes.

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
pub use merge::{Declarations, NodeAnswer, merge};
pub use missing_node::MissingNode;
pub use outlook::Outlook;
pub use window_burn::WindowBurn;
