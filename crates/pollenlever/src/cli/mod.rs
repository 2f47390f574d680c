//! Command lines of `pollenleverd` and `pollenlever`, parsed into option structs.

mod apply_options;
mod daemon_flags;
mod daemon_options;
mod tool_command;
mod tool_flags;
mod tool_options;

pub use apply_options::ApplyOptions;
pub use daemon_options::DaemonOptions;
pub use tool_command::ToolCommand;
pub use tool_options::ToolOptions;
