use std::sync::Arc;

use tokio::sync::mpsc;

use super::NodeStartError;
use super::network_thread::NetworkThread;
use super::shared_state::SharedState;
use crate::control::SharedControl;
use crate::gate::{GateCommand, TargetClient, TargetWatch, run_gate};
use crate::settings::Settings;

/// The thread that sends requests to the target and probes it.
pub(super) struct TargetThread {
    /// Channel to the thread.
    pub(super) commands: mpsc::Sender<GateCommand>,
    /// Handles what the target reports about itself, and notices when it is gone.
    pub(super) watch: Arc<TargetWatch>,
    _thread: NetworkThread,
}

impl TargetThread {
    /// Sets up the HTTP client and starts the thread.
    pub(super) fn start(
        cfg: &Settings,
        shared: &SharedState,
        control: &SharedControl,
    ) -> Result<TargetThread, NodeStartError> {
        let thread = NetworkThread::start("target")?;
        let client =
            TargetClient::new(cfg.target, cfg.max_body_bytes).with_memory(shared.memory.clone());
        thread.spawn(client.clone().close_expired_connections());
        let (commands, commands_rx) = mpsc::channel(cfg.ring_capacity);
        thread.spawn(run_gate(commands_rx, client, shared.events.clone()));
        let watch = TargetWatch::new(cfg.target, shared.events.clone(), Arc::clone(control));
        let watch = Arc::new(watch);
        let watcher = Arc::clone(&watch);
        thread.spawn(async move { watcher.watch().await });
        Ok(TargetThread { commands, watch, _thread: thread })
    }
}
