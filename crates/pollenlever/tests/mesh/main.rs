//! Mesh nodes in this process, between raw callers and scripted targets on loopback.

mod answers;
mod bad_input;
mod config;
mod connections;
mod crash;
mod drain;
mod hangup;
mod memory_store;
mod once;
mod pipeline;
mod raw_caller;
mod script_target;
mod stop;
mod test_mesh;
