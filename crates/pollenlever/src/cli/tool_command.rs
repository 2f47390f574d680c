use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::ApplyOptions;

/// What `pollenlever` is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToolCommand {
    /// Check a manifest.
    Check {
        /// The manifest.
        file: PathBuf,
    },
    /// Apply a manifest.
    Apply(ApplyOptions),
    /// Show a node's view of the deployment.
    Status,
    /// Take a target out of service.
    Drain {
        /// HTTP address of the node beside the target.
        target: SocketAddr,
        /// Longest wait until every node knows.
        wait: Duration,
    },
    /// Take request keys.
    Keys {
        /// How many.
        count: u32,
    },
    /// Show what nodes logged about a request.
    Trace {
        /// Id of the request.
        request: String,
        /// Logs of nodes.
        files: Vec<PathBuf>,
    },
    /// Show service-level burn.
    ReportBurn {
        /// Manifest with objectives and regions that nodes may not know.
        manifest: Option<PathBuf>,
    },
}
