//! Requests of the tool to nodes.

mod node_client;
mod node_error;
mod region_spread;
mod spread;
mod spread_watch;
mod survey;

pub use node_client::NodeClient;
pub use node_error::NodeError;
pub use region_spread::RegionSpread;
pub use spread::Spread;
pub use spread_watch::{AskNode, SpreadWatch};
pub use survey::ask_all;
