use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded};
use pollenlever_core::id::NodeId;
use pollenlever_core::policy::Event;

use super::entry_thread::EntryThread;
use super::peer_thread::PeerThread;
use super::policy::policy;
use super::shared::Shared;
use super::target_thread::TargetThread;
use super::threads::spawn;
use super::{Clock, Decision, NodeError};
use crate::settings::Settings;

/// Wait for the kernel to take the last answers, and for members to hear that the node leaves.
const WRITE_GRACE: Duration = Duration::from_millis(200);

/// A running node.
pub struct Node {
    drain_timeout: Duration,
    shared: Shared,
    left: Receiver<()>,
    peer: PeerThread,
    entry: EntryThread,
    _target: TargetThread,
}

impl Node {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if a thread cannot start or an address cannot be bound.
    pub fn start(cfg: &Settings) -> Result<Node, NodeError> {
        let (shared, events_rx) = Shared::new(cfg);
        let peer = PeerThread::start(cfg, &shared)?;
        let target = TargetThread::start(cfg, &shared, &peer.control)?;
        let (left_tx, left) = bounded(1);
        let decision = Decision {
            me: shared.me,
            policy: policy(cfg, shared.me),
            clock: Clock::default(),
            events: events_rx,
            calls: Arc::clone(&shared.calls),
            streams: Arc::clone(&shared.streams),
            peers: peer.commands.clone(),
            gate: target.commands.clone(),
            telemetry: Arc::clone(&shared.telemetry),
            left: left_tx,
            exchanges: Default::default(),
            runs: Default::default(),
            local: Default::default(),
        };
        spawn("decision", move || decision.run())?;
        let entry = EntryThread::start(cfg, &shared, &peer.control, &target)?;
        log::info!("node started node={} entry={} policy={:?}", shared.me, cfg.entry, cfg.policy);
        let drain_timeout = cfg.drain_timeout;
        Ok(Node { drain_timeout, shared, left, peer, entry, _target: target })
    }

    /// The node.
    pub fn id(&self) -> NodeId {
        self.shared.me
    }

    /// Resolves if the HTTP server fails, which it may do only at its start.
    pub async fn entry_failure(&self) -> NodeError {
        self.entry.failure().await
    }

    /// Refuses new work, waits for what is in flight and stops the threads. Returns whether
    /// everything in flight ended in time.
    pub fn leave(self) -> bool {
        let started = Instant::now();
        let me = self.shared.me;
        log::info!("node is leaving node={me}");
        let _ = self.shared.events.push_wait(Event::Leave);
        self.peer.control.leave();
        let all_ended = self.left.recv_timeout(self.drain_timeout).is_ok();
        let time_left = self.drain_timeout.saturating_sub(started.elapsed());
        self.shared.open_work.wait_idle(time_left);
        std::thread::sleep(WRITE_GRACE);
        self.entry.stop();
        let waited_ms = started.elapsed().as_millis();
        log::info!("node left node={me} all_ended={all_ended} waited_ms={waited_ms}");
        all_ended
    }
}
