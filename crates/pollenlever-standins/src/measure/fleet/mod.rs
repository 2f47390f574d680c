//! A fleet of node processes without targets, and the means to measure the resources they use.

mod fleet;
mod fleet_node;
mod linear_fit;
mod process_usage;
mod socket_bytes;

pub(super) use fleet::{Fleet, FleetSpec};
pub(super) use fleet_node::FleetNode;
pub(super) use linear_fit::LinearFit;
pub(super) use process_usage::ProcessUsage;
pub(super) use socket_bytes::SocketBytes;
