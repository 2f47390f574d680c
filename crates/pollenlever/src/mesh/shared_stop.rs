use std::time::Duration;

use pollenlever_core::membership::MembershipEvent;
use tokio::sync::watch;

use super::MeshShared;
use super::stop_phase::StopPhase;

/// How far the node is with its stop.
impl MeshShared {
    pub(super) fn is_leaving(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Leaving
    }

    /// Refuses requests of other nodes from now on; the node is no longer ready for callers. Requests
    /// that are open at `abandons_at` will be abandoned.
    pub(super) fn start_leaving(&self, abandons_at: Duration) {
        self.abandons_at.get_or_init(|| abandons_at);
        self.stop_phase.send_replace(StopPhase::Leaving);
        self.gate.close();
        self.members.notify(MembershipEvent::Leave);
        self.quota.start_leaving();
    }

    /// Latest deadline that a request can be given: none that it could outlive this node with.
    pub(super) fn latest_deadline(&self) -> Duration {
        self.abandons_at.get().copied().unwrap_or(Duration::MAX)
    }

    /// Refuses new requests of callers from now on.
    pub(super) fn stop(&self) {
        self.stop_phase.send_replace(StopPhase::Stopped);
    }

    /// Answers open requests of callers with an error.
    pub(super) fn abandon_requests(&self) {
        self.stop_phase.send_replace(StopPhase::Abandoning);
    }

    pub(super) fn is_stopped(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Stopped
    }

    /// Whether no request is open, of a caller or at the gate, and no connection of a caller.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight_work.is_idle() && self.open_connections.is_idle()
    }

    /// How far the node is with its stop, with notice of changes.
    pub(super) fn subscribe_stop_phase(&self) -> watch::Receiver<StopPhase> {
        self.stop_phase.subscribe()
    }

    /// Resolves once the node's stop has come to `phase`.
    pub(super) async fn wait_for_stop_phase(&self, phase: StopPhase) {
        let mut present = self.subscribe_stop_phase();
        // The sender lives as long as this node, so waiting cannot fail.
        let _ = present.wait_for(|it| *it >= phase).await;
    }
}
