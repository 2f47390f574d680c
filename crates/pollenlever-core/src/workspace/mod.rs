//! Workspaces: the parties on whose behalf callers send requests, with their API keys, priority and
//! quota.

mod key_digest;
mod quota_limit;
mod workspace;
mod workspace_directory;

pub use key_digest::KeyDigest;
pub use quota_limit::QuotaLimit;
pub use workspace::Workspace;
pub use workspace_directory::{DirectoryError, WorkspaceDirectory};
