//! The commands, a file or folder each.

mod apply;
mod check;
mod command;
mod drain;
mod keys;
mod report_burn;
mod status;
mod trace;

pub use command::{BoxCommand, Command};

use std::net::SocketAddr;

use super::ToolError;
use super::node::NodeClient;
use crate::cli::{ToolCommand, ToolOptions};

/// The command that `options` ask for.
///
/// # Errors
///
/// [`ToolError`] if an option is missing or the HTTP library cannot start.
pub fn command_of(options: &ToolOptions) -> Result<BoxCommand, ToolError> {
    let client = NodeClient::new(options.timeout)?;
    Ok(match options.command.clone() {
        ToolCommand::Check { file } => Box::new(check::Check { file }),
        ToolCommand::Apply(apply) => {
            let node = match apply.wait {
                Some(_) => Some(node(options)?),
                None => None,
            };
            Box::new(apply::Apply { client, node, options: apply })
        }
        ToolCommand::Status => Box::new(status::Status { client, node: node(options)? }),
        ToolCommand::Drain { target, wait } => {
            Box::new(drain::Drain { client, node: node(options)?, target, wait })
        }
        ToolCommand::Keys { count } => Box::new(keys::Keys { client, node: node(options)?, count }),
        ToolCommand::Trace { request, files } => Box::new(trace::Trace { request, files }),
        ToolCommand::ReportBurn { manifest } => {
            Box::new(report_burn::ReportBurn { client, node: node(options)?, manifest })
        }
    })
}

fn node(options: &ToolOptions) -> Result<SocketAddr, ToolError> {
    options.node.ok_or(ToolError::NodeRequired)
}
