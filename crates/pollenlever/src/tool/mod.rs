//! The operator tool `pollenlever`: its commands, requests to nodes, and output formats.

pub mod burn;
pub mod command;
mod exit;
pub mod node;
pub mod output;
mod output_format;
mod run;
mod tool_error;
pub mod trace;

pub use exit::Exit;
pub use output_format::OutputFormat;
pub use run::run;
pub use tool_error::ToolError;
