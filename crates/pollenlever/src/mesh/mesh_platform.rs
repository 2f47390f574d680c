use std::sync::Arc;

use pollenlever_core::mesh::RouteTable;
use serde_json::Value;
use thiserror::Error;

use super::{BoxControlHandler, HeaderNames, MeshShared};
use crate::store::BoxObjectApi;

/// A configuration that cannot be read; the one in force stays.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct RouteFault(pub String);

/// What a platform calls things: the border between a node and its surroundings.
pub trait MeshPlatform: Send + Sync {
    /// Names of the headers between callers, nodes and targets.
    fn headers(&self) -> HeaderNames;

    /// The store in which configuration and members lie.
    fn store(&self) -> BoxObjectApi;

    /// Kind and name of the object that holds the routes.
    fn routes_object(&self) -> (&'static str, &'static str);

    /// Reads the routes from their object.
    ///
    /// # Errors
    ///
    /// [`RouteFault`] with what is wrong.
    fn routes(&self, value: &Value) -> Result<RouteTable, RouteFault>;

    /// Serves what the target and the platform ask of the node.
    fn control(&self, node: Arc<MeshShared>) -> BoxControlHandler;
}

/// Platform of whichever kind.
pub type BoxMeshPlatform = Arc<dyn MeshPlatform>;
