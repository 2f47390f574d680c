//! Node daemon and operator tool of Pollenlever, an overload control layer for service call graphs.

pub mod bounds;
pub mod cli;
pub mod control;
pub mod entry;
pub mod gate;
mod gossip;
pub mod manifest;
pub mod mesh;
mod net;
pub mod node;
pub mod peer;
pub mod quota;
pub mod ring;
pub mod settings;
pub mod store;
mod target;
pub mod telemetry;
pub mod tool;
