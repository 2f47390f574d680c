use std::net::SocketAddr;
use std::process;
use std::time::Duration;

use super::tool_flags::{self, PollenleverCmd, ReportCmd};
use super::{ApplyOptions, ToolCommand};
use crate::tool::OutputFormat;

const DEFAULT_NODE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_DRAIN_WAIT: Duration = Duration::from_secs(5);

/// Options of `pollenlever`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToolOptions {
    /// Output format of the result.
    pub format: OutputFormat,
    /// HTTP address of the node to ask, if given.
    pub node: Option<SocketAddr>,
    /// Maximum wait for each response of a node.
    pub timeout: Duration,
    /// Command to run.
    pub command: ToolCommand,
}

impl ToolOptions {
    /// Parses the command line. For `--help`, `--version` and invalid options, prints and exits.
    pub fn from_env_or_exit() -> ToolOptions {
        // The xflags grammar requires a command, so `--version` alone must be handled before parsing.
        if std::env::args().skip(1).any(|it| it == "--version") {
            println!("pollenlever {}", env!("CARGO_PKG_VERSION"));
            process::exit(0);
        }
        ToolOptions::from(tool_flags::Pollenlever::from_env_or_exit())
    }
}

impl Default for ToolOptions {
    fn default() -> ToolOptions {
        ToolOptions {
            format: OutputFormat::Table,
            node: None,
            timeout: DEFAULT_NODE_TIMEOUT,
            command: ToolCommand::Status,
        }
    }
}

impl From<tool_flags::Pollenlever> for ToolOptions {
    fn from(flags: tool_flags::Pollenlever) -> ToolOptions {
        let defaults = ToolOptions::default();
        ToolOptions {
            format: flags.format.unwrap_or(defaults.format),
            node: flags.node,
            timeout: flags.timeout_ms.map_or(defaults.timeout, Duration::from_millis),
            command: flags.subcommand.into(),
        }
    }
}

impl From<PollenleverCmd> for ToolCommand {
    fn from(cmd: PollenleverCmd) -> ToolCommand {
        match cmd {
            PollenleverCmd::Check(it) => ToolCommand::Check { file: it.file },
            PollenleverCmd::Apply(it) => ToolCommand::Apply(it.into()),
            PollenleverCmd::Status(_) => ToolCommand::Status,
            PollenleverCmd::Drain(it) => ToolCommand::Drain {
                target: it.target,
                max_wait: it.wait_ms.map_or(DEFAULT_DRAIN_WAIT, Duration::from_millis),
            },
            PollenleverCmd::Members(_) => ToolCommand::Members,
            PollenleverCmd::Quota(_) => ToolCommand::Quota,
            PollenleverCmd::Keys(it) => ToolCommand::Keys { count: it.count.unwrap_or(1) },
            PollenleverCmd::Trace(it) => ToolCommand::Trace { request: it.request, files: it.file },
            PollenleverCmd::Report(it) => match it.subcommand {
                ReportCmd::Burn(it) => ToolCommand::ReportBurn { manifest: it.manifest },
            },
        }
    }
}

impl From<tool_flags::Apply> for ApplyOptions {
    fn from(flags: tool_flags::Apply) -> ApplyOptions {
        let defaults = ApplyOptions::new(flags.file, flags.store);
        ApplyOptions {
            overwrite: flags.overwrite,
            max_wait: match flags.no_wait {
                true => None,
                false => flags.wait_ms.map(Duration::from_millis).or(defaults.max_wait),
            },
            ..defaults
        }
    }
}
