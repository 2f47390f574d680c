//! Test doubles for the environment of pollenlever (the platform's object store, targets, callers
//! and network links) and the measurements that run on them.

pub mod caller;
pub mod cluster;
pub mod crowd;
pub mod demo;
pub mod load;
pub mod measure;
pub mod relay;
pub mod store;
pub mod target;
