//! HTTP entry for callers, targets and operators.

mod answer_response;
mod call_guard;
mod call_headers;
mod call_path;
mod call_route;
mod catcher;
mod connection_table;
mod control_routes;
mod entry_server;
mod entry_state;
mod error_body;
mod hangup_watch;
mod header_limit;
mod key_route;
mod target_routes;

pub use call_path::CallPath;
pub use entry_server::EntryServer;
pub use entry_state::EntryState;
pub use hangup_watch::HangupWatch;
