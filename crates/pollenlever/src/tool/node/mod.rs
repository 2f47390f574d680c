//! HTTP requests from the tool to nodes, and the wait until a change has reached all of them.

mod node_client;
mod node_request_error;
mod propagation;
mod propagation_watch;
mod query_all;
mod region_propagation;

pub use node_client::NodeClient;
pub use node_request_error::NodeRequestError;
pub use propagation::Propagation;
pub use propagation_watch::{NodeQuery, PropagationWatch};
pub use query_all::query_all;
pub use region_propagation::RegionPropagation;
