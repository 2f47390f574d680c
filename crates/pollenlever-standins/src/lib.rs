//! Stand-ins for what pollenlever meets: the platform's store, targets, callers and links.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod load;
pub mod measure;
pub mod relay;
pub mod store;
pub mod target;
