use std::sync::Arc;

use tokio::sync::mpsc;

use super::NodeError;
use super::network_thread::NetworkThread;
use super::shared::Shared;
use crate::control::BoxControl;
use crate::gate::{GateCommand, TargetClient, TargetWatch, run_gate};
use crate::settings::Settings;

/// The thread that talks to the target.
pub(super) struct TargetThread {
    /// Ring to the thread.
    pub(super) commands: mpsc::Sender<GateCommand>,
    /// Takes what the target says about itself.
    pub(super) watch: Arc<TargetWatch>,
    _thread: NetworkThread,
}

impl TargetThread {
    /// Starts the thread.
    pub(super) fn start(
        cfg: &Settings,
        shared: &Shared,
        control: &BoxControl,
    ) -> Result<TargetThread, NodeError> {
        let thread = NetworkThread::start("target")?;
        let client = TargetClient::new(cfg.target, cfg.max_body_bytes)?;
        let (commands, commands_rx) = mpsc::channel(cfg.ring_capacity);
        thread.spawn(run_gate(commands_rx, client, shared.events.clone()));
        let watch = TargetWatch::new(cfg.target, shared.events.clone(), Arc::clone(control));
        let watch = Arc::new(watch);
        let watching = Arc::clone(&watch);
        thread.spawn(async move { watching.watch().await });
        Ok(TargetThread { commands, watch, _thread: thread })
    }
}
