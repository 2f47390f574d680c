use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::admission::{Admission, Ticket, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{ContentDigest, StreamId};
use pollenlever_core::mesh::{AttemptOutcome, AttemptStage, Lineage, MeshAttempt, RegistryChange};
use tokio::sync::oneshot;

use super::gate::{Gate, refused};
use super::gate_state::GateState;
use super::slot_guard::SlotGuard;

/// Workspace of requests whose workspace is not known.
const ANY_WORKSPACE: &str = "any";
/// Shortest time between two checks of the requests that wait for the rate limit or the pace of the target.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Admission of attempts: the checks before them, the queue, and slots.
impl Gate {
    /// Waits in the admission queue for a slot, one of the concurrent runs that the limit allows.
    pub(super) async fn acquire_slot(
        self: &Arc<Gate>,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<SlotGuard, AttemptOutcome> {
        let (id, mut verdict) = self.offer(head, digest, deadline)?;
        let guard = SlotGuard::new(Arc::clone(&self.shared), id);
        let verdict = match tokio::time::timeout(head.max_wait, &mut verdict).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => verdict.try_recv().ok(),
        };
        match verdict {
            Some(Verdict::Run(_)) => Ok(guard),
            Some(Verdict::Shed { error, retry_after, .. }) => {
                Err(refused(error, Some(retry_after)))
            }
            None => Err(self.waited_too_long()),
        }
    }

    /// Refusal of a request that got no slot within its longest wait.
    fn waited_too_long(&self) -> AttemptOutcome {
        let load = self.load();
        if load.rate_limit_wait.is_zero() {
            return refused(ErrorKind::Overloaded, None);
        }
        let retry_after = load.rate_limit_wait + load.queue_drain_time;
        refused(ErrorKind::RateLimited, Some(retry_after))
    }

    fn offer(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<(StreamId, oneshot::Receiver<Verdict>), AttemptOutcome> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.ledger.begin(head.id).map_err(outcome_of_known_attempt)?;
        if state.merge_remembered(now, head.remembered.as_ref()) == RegistryChange::Closed {
            self.target_left.notify_one();
        }
        if let Some(error) = state.refusal_reason(head, digest) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
        }
        if let Some(retry_after) = self.chain_refusal(now, &mut state, head) {
            state.ledger.seal(head.id);
            return Err(refused(ErrorKind::DownstreamOverloaded, Some(retry_after)));
        }
        state.last_id += 1;
        let id = state.last_id;
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(id, tx);
        let ticket = Ticket {
            id,
            service: head.service.clone(),
            importance: head.lineage.importance,
            chain: head.lineage.chain,
            depth: head.lineage.depth,
            workspace: head.workspace.clone().unwrap_or_else(|| ANY_WORKSPACE.into()),
            deadline,
        };
        let mut verdicts = Vec::new();
        state.admission.offer(now, ticket, &mut verdicts);
        state.deliver_verdicts(verdicts);
        if state.queue_wakeup().is_some() {
            self.queue_changed.notify_one();
        }
        Ok((id, rx))
    }

    /// Time after which the caller of a new chain may retry, if the chain is refused because its
    /// calls would most likely fail.
    fn chain_refusal(
        &self,
        now: Duration,
        state: &mut GateState,
        head: &MeshAttempt,
    ) -> Option<Duration> {
        let Lineage { importance, chain, .. } = head.lineage;
        if head.lineage.is_call() {
            return None;
        }
        let completion_ratio = self.downstream.completion_ratio(head.lineage.class());
        let room = self.downstream.admitted_share(head.lineage.class());
        state.chain_admission.refusal(now, importance, chain, completion_ratio, room)
    }

    /// Starts or sheds requests that wait for the rate limit or the pace of the target when it is time,
    /// for as long as the node runs.
    pub(super) async fn serve_queue(self: Arc<Gate>) {
        loop {
            let wakeup = self.lock().queue_wakeup();
            let Some(wakeup) = wakeup else {
                self.queue_changed.notified().await;
                continue;
            };
            let wait = wakeup.saturating_sub(self.clock.now()).max(MIN_TICK_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep(wait) => self.lock().tick(self.clock.now()),
                () = self.queue_changed.notified() => {}
            }
        }
    }
}

/// Outcome of an attempt that arrives although the gate knows it already.
fn outcome_of_known_attempt(stage: AttemptStage) -> AttemptOutcome {
    match stage {
        AttemptStage::Sealed => refused(ErrorKind::Overloaded, None),
        AttemptStage::Waiting | AttemptStage::Started | AttemptStage::Forgotten => {
            AttemptOutcome::Unknown
        }
    }
}
