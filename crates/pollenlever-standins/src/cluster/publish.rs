use std::net::SocketAddr;

use pollenlever::store::{StoreClient, SubmitSettings, submit};
use pollenlever_core::config::ServiceConfig;

use super::ClusterError;

/// Puts the configurations of a deployment into the store, one object per service.
pub(super) fn publish(store: SocketAddr, configs: &[ServiceConfig]) -> Result<(), ClusterError> {
    let err = |reason: String| ClusterError::request("publish the configuration", reason);
    let api = StoreClient::new(store).map_err(|it| err(it.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|it| err(it.to_string()))?;
    let settings = SubmitSettings::default();
    for cfg in configs {
        let submission = format!("start-{}", cfg.service);
        let submitted = submit(&api, cfg, &submission, &settings);
        runtime.block_on(submitted).map_err(|it| err(it.to_string()))?;
    }
    Ok(())
}
