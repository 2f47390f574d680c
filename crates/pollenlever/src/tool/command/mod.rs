//! The commands of the operator tool, one file or folder for each.

mod apply;
mod check;
mod command;
mod drain;
mod keys;
mod members;
mod quota;
mod report_burn;
mod status;
mod trace;

pub use command::{BoxCommand, Command};

use std::net::SocketAddr;

use super::ToolError;
use super::node::NodeClient;
use crate::cli::{ToolCommand, ToolOptions};

/// Builds the command that `options` select.
///
/// # Errors
///
/// [`ToolError::NodeRequired`] if the command needs a node and none is given, [`ToolError::Start`]
/// if the HTTP client cannot be created.
pub fn build_command(options: &ToolOptions) -> Result<BoxCommand, ToolError> {
    let client = NodeClient::new(options.timeout)?;
    Ok(match options.command.clone() {
        ToolCommand::Check { file } => Box::new(check::Check { file }),
        ToolCommand::Apply(apply) => {
            let node = match apply.max_wait {
                Some(_) => Some(required_node(options)?),
                None => None,
            };
            Box::new(apply::Apply { client, node, options: apply })
        }
        ToolCommand::Status => Box::new(status::Status { client, node: required_node(options)? }),
        ToolCommand::Drain { target, max_wait } => {
            Box::new(drain::Drain { client, node: required_node(options)?, target, max_wait })
        }
        ToolCommand::Members => {
            Box::new(members::Members { client, node: required_node(options)? })
        }
        ToolCommand::Quota => Box::new(quota::Quota { client, node: required_node(options)? }),
        ToolCommand::Keys { count } => {
            Box::new(keys::Keys { client, node: required_node(options)?, count })
        }
        ToolCommand::Trace { request, files } => Box::new(trace::Trace { request, files }),
        ToolCommand::ReportBurn { manifest } => {
            Box::new(report_burn::ReportBurn { client, node: required_node(options)?, manifest })
        }
    })
}

fn required_node(options: &ToolOptions) -> Result<SocketAddr, ToolError> {
    options.node.ok_or(ToolError::NodeRequired)
}
