use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use thiserror::Error;

use super::{KeyDigest, Workspace};
use crate::id::WorkspaceName;

/// Workspaces that contradict each other.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// Two workspaces have one key. The message names the workspaces, never the key.
    #[error("workspaces {0:?} and {1:?} have an API key in common; give each its own")]
    SharedKey(WorkspaceName, WorkspaceName),
    /// Two workspaces have one name.
    #[error("workspace {0:?} is declared twice; give each its own name")]
    DuplicateName(WorkspaceName),
}

/// Finds the workspace to which an API key belongs.
#[derive(Debug, Default)]
pub struct WorkspaceDirectory {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    workspaces: Vec<Arc<Workspace>>,
}

impl WorkspaceDirectory {
    /// Builds the directory of `workspaces`.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if two workspaces share a key or a name.
    ///
    /// ```
    /// use pollenlever_core::workspace::{KeyDigest, Workspace, WorkspaceDirectory};
    /// let keys = vec![KeyDigest::of("k1")];
    /// let padova = Workspace { name: "padova".into(), keys, ..Workspace::default() };
    /// let verona = Workspace { name: "verona".into(), ..padova.clone() };
    /// let directory = WorkspaceDirectory::new(&[padova.clone()]).unwrap();
    /// assert_eq!(&*directory.find("k1").unwrap().name, "padova");
    /// assert!(directory.find("k2").is_none());
    /// assert!(WorkspaceDirectory::new(&[padova, verona]).is_err());
    /// ```
    pub fn new(workspaces: &[Workspace]) -> Result<WorkspaceDirectory, DirectoryError> {
        let mut directory = WorkspaceDirectory::default();
        let mut names = HashSet::new();
        for workspace in workspaces {
            if !names.insert(workspace.name.clone()) {
                return Err(DirectoryError::DuplicateName(workspace.name.clone()));
            }
            directory.insert(Arc::new(workspace.clone()))?;
        }
        Ok(directory)
    }

    fn insert(&mut self, workspace: Arc<Workspace>) -> Result<(), DirectoryError> {
        for key in &workspace.keys {
            let earlier = self.by_key.insert(*key, Arc::clone(&workspace));
            if let Some(earlier) = earlier.filter(|it| it.name != workspace.name) {
                return Err(DirectoryError::SharedKey(
                    earlier.name.clone(),
                    workspace.name.clone(),
                ));
            }
        }
        self.workspaces.push(workspace);
        Ok(())
    }

    /// The workspace with this API key; `None` if the key is unknown.
    pub fn find(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// All workspaces, in the order of their declaration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }

    /// Whether no workspace is declared, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}
