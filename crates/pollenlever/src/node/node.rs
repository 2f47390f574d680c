use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, bounded};
use pollenlever_core::id::NodeId;
use pollenlever_core::policy::Event;

use super::build_policy::build_policy;
use super::entry_thread::EntryThread;
use super::peer_thread::PeerThread;
use super::shared_state::SharedState;
use super::spawn_thread::spawn_thread;
use super::target_thread::TargetThread;
use super::{Clock, DecisionThread, NodeStartError};
use crate::settings::Settings;

/// Wait after draining, so that the kernel can send the last answers and the other members learn
/// that this node leaves.
const WRITE_GRACE: Duration = Duration::from_millis(200);

/// A running node: its threads and the state that they share.
pub struct Node {
    drain_timeout: Duration,
    shared: SharedState,
    drained: Receiver<()>,
    peer: PeerThread,
    entry: EntryThread,
    _target: TargetThread,
}

impl Node {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// [`NodeStartError`] if a thread cannot start or an address cannot be bound.
    pub fn start(cfg: &Settings) -> Result<Node, NodeStartError> {
        let (shared, events_rx) = SharedState::new(cfg);
        let peer = PeerThread::start(cfg, &shared)?;
        let target = TargetThread::start(cfg, &shared, &peer.control)?;
        let (drained_tx, drained) = bounded(1);
        let decision = DecisionThread {
            local_node: shared.local_node,
            policy: build_policy(cfg, shared.local_node),
            clock: Clock::default(),
            events: events_rx,
            calls: Arc::clone(&shared.calls),
            streams: Arc::clone(&shared.streams),
            peers: peer.commands.clone(),
            gate: target.commands.clone(),
            telemetry: Arc::clone(&shared.telemetry),
            drained: drained_tx,
            exchanges: Default::default(),
            runs: Default::default(),
            loopback: Default::default(),
        };
        spawn_thread("decision", move || decision.run())?;
        let entry = EntryThread::start(cfg, &shared, &peer.control, &target)?;
        log::info!(
            "node started node={} entry={} policy={:?}",
            shared.local_node,
            cfg.entry,
            cfg.policy
        );
        let drain_timeout = cfg.drain_timeout;
        Ok(Node { drain_timeout, shared, drained, peer, entry, _target: target })
    }

    /// Address and incarnation of this node.
    pub fn id(&self) -> NodeId {
        self.shared.local_node
    }

    /// Resolves if the HTTP server fails, which can happen only while it starts.
    pub async fn entry_failure(&self) -> NodeStartError {
        self.entry.failure().await
    }

    /// Refuses new work, waits for the work in flight for up to the drain timeout and stops the
    /// threads. Returns whether all work ended in time.
    pub fn leave(self) -> bool {
        let started = Instant::now();
        let local_node = self.shared.local_node;
        log::info!("node is leaving node={local_node}");
        let _ = self.shared.events.push_blocking(Event::Leave);
        self.peer.control.announce_leave();
        let all_ended = self.drained.recv_timeout(self.drain_timeout).is_ok();
        let time_left = self.drain_timeout.saturating_sub(started.elapsed());
        self.shared.in_flight_work.wait_idle(time_left);
        std::thread::sleep(WRITE_GRACE);
        self.entry.stop();
        let waited_ms = started.elapsed().as_millis();
        log::info!("node left node={local_node} all_ended={all_ended} waited_ms={waited_ms}");
        all_ended
    }
}
