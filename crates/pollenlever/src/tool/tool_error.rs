use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use super::Exit;
use super::node::NodeRequestError;
use crate::manifest::ManifestError;
use crate::store::StoreError;

/// Why a command failed without a result. Each message says what to do.
#[derive(Debug, Error)]
pub enum ToolError {
    /// The command needs a node, and none was given.
    #[error("no node given; name the HTTP address of any node with --node IP:PORT")]
    NodeRequired,
    /// The result of this command cannot be printed as HTML.
    #[error("only `report burn` can be printed as html; use --format table or json")]
    NoHtml,
    /// The manifest is invalid or cannot be read.
    #[error("{0}\nnothing was applied; correct the manifest and run the command again")]
    Manifest(#[from] ManifestError),
    /// A request to a node failed.
    #[error("{0}; check the address, or name another node with --node")]
    Node(#[from] NodeRequestError),
    /// The store could not be read, so nothing was applied.
    #[error("cannot read the store {addr}: {source}; nothing was applied, run the command again")]
    Store {
        /// Address of the store.
        addr: SocketAddr,
        /// Error of the store.
        source: StoreError,
    },
    /// No member has the given address.
    #[error(
        "no node has the address {0}; take one from the column `entry` of `pollenlever status`"
    )]
    UnknownTarget(SocketAddr),
    /// A log file cannot be read.
    #[error("cannot read the log {}: {source}; check the path", path.display())]
    Log {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client or the async runtime could not be created.
    #[error("cannot start: {0}")]
    Start(String),
}

impl ToolError {
    /// Returns the exit code for this error.
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
