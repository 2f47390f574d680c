use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use super::Exit;
use super::node::NodeError;
use crate::manifest::ManifestError;
use crate::store::StoreError;

/// Why a command gave no result; each message says what to do.
#[derive(Debug, Error)]
pub enum ToolError {
    /// The command needs a node.
    #[error("no node given; name the HTTP address of any node with --node IP:PORT")]
    NodeRequired,
    /// The result has no page.
    #[error("only `report burn` can be printed as html; use --format table or json")]
    NoHtml,
    /// The manifest was refused.
    #[error("{0}\nnothing was applied; correct the manifest and run the command again")]
    Manifest(#[from] ManifestError),
    /// A node did not answer.
    #[error("{0}; check the address, or name another node with --node")]
    Node(#[from] NodeError),
    /// The store could not be read, so nothing was written.
    #[error("cannot read the store {addr}: {source}; nothing was applied, run the command again")]
    Store {
        /// Address of the store.
        addr: SocketAddr,
        /// What went wrong.
        source: StoreError,
    },
    /// The address names no target.
    #[error(
        "no node has the address {0}; take one from the column `entry` of `pollenlever status`"
    )]
    UnknownTarget(SocketAddr),
    /// A log cannot be read.
    #[error("cannot read the log {}: {source}; check the path", path.display())]
    Log {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The tool itself could not start.
    #[error("cannot start: {0}")]
    Start(String),
}

impl ToolError {
    /// Exit code of the command.
    pub fn exit(&self) -> Exit {
        match self {
            ToolError::NodeRequired | ToolError::NoHtml | ToolError::UnknownTarget(_) => {
                Exit::Usage
            }
            ToolError::Manifest(_) => Exit::ManifestRefused,
            ToolError::Node(_)
            | ToolError::Store { .. }
            | ToolError::Log { .. }
            | ToolError::Start(_) => Exit::Failed,
        }
    }
}
