use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use super::NodeStartError;
use super::network_thread::NetworkThread;
use super::shared_state::SharedState;
use super::target_thread::TargetThread;
use crate::control::SharedControl;
use crate::entry::{DisconnectWatch, EntryServer, EntryShutdown, EntryState};
use crate::settings::Settings;

/// The thread that serves callers, the target and operators over HTTP.
pub(super) struct EntryThread {
    addr: SocketAddr,
    shutdown: EntryShutdown,
    /// Result of the HTTP server; `None` while it serves.
    ended: watch::Receiver<Option<Result<(), String>>>,
    thread: NetworkThread,
}

impl EntryThread {
    /// Checks the routes and starts to serve.
    pub(super) fn start(
        cfg: &Settings,
        shared: &SharedState,
        control: &SharedControl,
        target: &TargetThread,
    ) -> Result<EntryThread, NodeStartError> {
        let thread = NetworkThread::start("entry")?;
        let state = Arc::new(EntryState {
            events: shared.events.clone(),
            calls: Arc::clone(&shared.calls),
            control: Arc::clone(control),
            telemetry: Arc::clone(&shared.telemetry),
            target: Arc::clone(&target.watch),
            disconnects: DisconnectWatch::new(cfg.entry),
            connections: shared.connections.clone(),
            memory: shared.memory.clone(),
            in_flight_work: shared.in_flight_work.clone(),
            max_body_bytes: cfg.max_body_bytes,
            max_header_bytes: cfg.max_header_bytes,
        });
        let watcher = Arc::clone(&state);
        thread.spawn(async move { watcher.watch_disconnects().await });
        let addr = cfg.entry;
        let server = thread.handle().block_on(EntryServer::new(addr, state));
        let server =
            server.map_err(|err| NodeStartError::Entry { addr, reason: err.to_string() })?;
        let shutdown = server.shutdown();
        let (ended_tx, ended) = watch::channel(None);
        thread.spawn(async move {
            let served = server.serve().await.map_err(|err| err.to_string());
            let _ = ended_tx.send(Some(served));
        });
        Ok(EntryThread { addr, shutdown, ended, thread })
    }

    /// Resolves if the HTTP server fails, which can happen only while it starts.
    pub(super) async fn failure(&self) -> NodeStartError {
        let mut ended = self.ended.clone();
        let is_failure = |it: &Option<Result<(), String>>| matches!(it, Some(Err(_)));
        let reason = match ended.wait_for(is_failure).await {
            Ok(ended) => ended.clone().and_then(Result::err).unwrap_or_default(),
            Err(_) => "the entry thread ended".to_owned(),
        };
        NodeStartError::Entry { addr: self.addr, reason }
    }

    /// Shuts the HTTP server down, which closes the connections of callers once their answers are
    /// written, and waits for its end.
    pub(super) fn stop(self) {
        self.shutdown.notify();
        let mut ended = self.ended.clone();
        let _ = self.thread.handle().block_on(ended.wait_for(Option::is_some));
    }
}
