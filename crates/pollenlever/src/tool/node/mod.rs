//! Requests of the tool to nodes.

mod node_client;
mod node_error;
mod spread;
mod survey;

pub use node_client::NodeClient;
pub use node_error::NodeError;
pub use spread::{AskNode, RegionSpread, Spread, SpreadWatch};
pub use survey::ask_all;
