use std::net::SocketAddr;

use pollenlever_core::config::ServiceConfig;

use super::ClusterError;

/// Puts the configurations of a deployment into the store, one object a service.
pub(super) fn publish(store: SocketAddr, configs: &[ServiceConfig]) -> Result<(), ClusterError> {
    let _ = (store, configs);
    Err(ClusterError::request("publish", "not yet"))
}
