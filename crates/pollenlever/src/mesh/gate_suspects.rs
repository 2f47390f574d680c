use pollenlever_core::message::Suspicion;

use super::gate::Gate;

/// Requests that crash targets, and what gates tell each other about them.
impl Gate {
    /// Resolves once the target crashed; returns the requests suspected of it.
    pub(super) async fn next_crash_suspicions(&self) -> Vec<Suspicion> {
        self.crash_recorded.notified().await;
        std::mem::take(&mut self.lock().unsent_suspicions)
    }

    /// Number of requests that are refused because they crash targets.
    pub(super) fn blocked_request_count(&self) -> usize {
        self.lock().suspects.count_at_crash_limit()
    }

    /// All requests suspected of crashing targets.
    pub(super) fn known_suspects(&self) -> Vec<Suspicion> {
        self.lock().suspects.suspicions()
    }

    /// Merges another gate's record of requests that crash targets.
    pub(super) fn merge_suspicions(&self, suspicions: &[Suspicion]) {
        let now = self.clock.now();
        self.lock().suspects.merge_remote(now, suspicions);
    }

    pub(super) fn notify_crash(&self) {
        self.crash_recorded.notify_one();
    }
}
