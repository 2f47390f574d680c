//! Runs mesh nodes inside the test process, between callers that write raw bytes and scripted
//! targets (server processes), on loopback addresses.

mod answers;
mod attempt_sender;
mod bad_input;
mod body_memory;
mod broken_answers;
mod config;
mod connections;
mod crash;
mod drain;
mod endless_answers;
mod gossip_peer;
mod hangup;
mod large_answers;
mod log_lines;
mod memory_store;
mod once;
mod pipeline;
mod quota;
mod quota_store;
mod raw_caller;
mod reported_load;
mod scripted_target;
mod seals;
mod severed;
mod start_pace;
mod stated_rate;
mod stop;
mod store_view;
mod test_mesh;
mod test_relay;
mod workspaces;
