use std::sync::Arc;

use pollenlever_core::mesh::RouteTable;
use pollenlever_core::workspace::{DirectoryError, WorkspaceDirectory};

/// The route table that a node applies, with the directory of its workspaces.
#[derive(Debug, Clone)]
pub(super) struct RoutesInForce {
    pub(super) table: Arc<RouteTable>,
    pub(super) workspaces: Arc<WorkspaceDirectory>,
}

impl RoutesInForce {
    /// Builds the directory of a table.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if workspaces of the table contradict each other.
    pub(super) fn new(table: RouteTable) -> Result<RoutesInForce, DirectoryError> {
        let workspaces = WorkspaceDirectory::new(&table.workspaces)?;
        Ok(RoutesInForce { table: Arc::new(table), workspaces: Arc::new(workspaces) })
    }
}
