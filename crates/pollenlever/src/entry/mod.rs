//! HTTP server of the node for callers, the target and operators. The entry is the node that takes
//! a call from a caller.

mod answer_response;
mod call_guard;
mod call_headers;
mod call_path;
mod call_route;
mod catcher;
mod connection_table;
mod control_routes;
mod disconnect_watch;
mod entry_body;
mod entry_server;
mod entry_state;
mod error_body;
mod header_limit;
mod key_route;
mod read_body;
mod rocket_routes;
mod target_routes;

pub use call_path::CallPath;
pub use disconnect_watch::DisconnectWatch;
pub use entry_server::{EntryServer, EntryShutdown};
pub use entry_state::EntryState;
