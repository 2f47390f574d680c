use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::ApplyOptions;

/// A command of `pollenlever`, with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToolCommand {
    /// Check a manifest.
    Check {
        /// Path of the manifest.
        file: PathBuf,
    },
    /// Apply a manifest to the store.
    Apply(ApplyOptions),
    /// Show the deployment as one node sees it.
    Status,
    /// Take a target out of service.
    Drain {
        /// HTTP address of the node beside the target.
        target: SocketAddr,
        /// Maximum wait until every node has seen the change.
        max_wait: Duration,
    },
    /// Show the quotas of workspaces as one sidecar sees them.
    Quota,
    /// Show the members that a sidecar knows.
    Members,
    /// Get request keys for non-idempotent requests from a node.
    Keys {
        /// Number of keys.
        count: u32,
    },
    /// Show what nodes logged about a request and the requests made for it.
    Trace {
        /// Id of the request.
        request: String,
        /// Log files of nodes, one per node.
        files: Vec<PathBuf>,
    },
    /// Show how much of their error budgets the kinds of request have used.
    ReportBurn {
        /// Manifest that supplies objectives and regions unknown to the nodes, if given.
        manifest: Option<PathBuf>,
    },
}
