//! The operator tool `pollenlever`: its commands, requests to nodes, and output formats.

pub mod burn;
pub mod command;
mod exit;
mod format;
pub mod node;
pub mod output;
mod run;
mod tool_error;
pub mod trace;

pub use exit::Exit;
pub use format::Format;
pub use run::run;
pub use tool_error::ToolError;
