use std::sync::Arc;

use pollenlever_core::mesh::RouteTable;
use serde_json::Value;
use thiserror::Error;

use super::{HeaderNames, MeshShared, SharedControlHandler};
use crate::bounds::ProcessLimits;
use crate::store::SharedObjectApi;

/// Routes that cannot be parsed; the routes in force stay.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct RouteError(pub String);

/// Interface between a node and the platform on which it runs.
pub trait MeshPlatform: Send + Sync {
    /// Names of the headers that callers, nodes and targets use.
    fn headers(&self) -> HeaderNames;

    /// Store that holds the configuration and the member objects.
    fn store(&self) -> SharedObjectApi;

    /// Kind and name of the store object that holds the routes.
    fn routes_object(&self) -> (&'static str, &'static str);

    /// Parses the routes from the value of their object.
    ///
    /// # Errors
    ///
    /// [`RouteError`] that says what is wrong with the value.
    fn routes(&self, value: &Value) -> Result<RouteTable, RouteError>;

    /// What the platform allows the process; the settings go before it.
    fn process_limits(&self) -> ProcessLimits {
        ProcessLimits::default()
    }

    /// Returns the handler for control requests of the target and the platform.
    fn control(&self, node: Arc<MeshShared>) -> SharedControlHandler;
}

/// Shared [`MeshPlatform`].
pub type SharedMeshPlatform = Arc<dyn MeshPlatform>;
