use std::path::Path;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::log_event::{LogEvent, log_event};
use super::{MeshNode, SharedMeshPlatform};
use crate::node::NodeStartError;
use crate::settings::MeshSettings;

/// Interval between checks whether the settings file has changed.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a mesh node until SIGTERM. The settings are reloaded on SIGHUP and when their file changes.
///
/// # Errors
///
/// [`NodeStartError`] if the node cannot start.
pub fn run_mesh(
    path: &Path,
    cfg: &MeshSettings,
    platform: SharedMeshPlatform,
) -> Result<(), NodeStartError> {
    let thread_error = |source| NodeStartError::Thread { thread: "mesh", source };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(thread_error)?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).map_err(thread_error)?;
        let mut hup = signal(SignalKind::hangup()).map_err(thread_error)?;
        let node = MeshNode::start(cfg, platform).await?;
        wait_for_terminate(&node, path, &mut term, &mut hup).await;
        node.leave().await;
        Ok(())
    })
}

async fn wait_for_terminate(node: &MeshNode, path: &Path, term: &mut Signal, hup: &mut Signal) {
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = hup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match MeshSettings::load(path) {
            Ok(cfg) => node.reload(cfg),
            Err(err) => {
                let reason = err.to_string();
                log_event!(LogEvent::SettingsRefused, "reason={reason:?}");
            }
        }
    }
}
