use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Membership;
use pollenlever_core::mesh::{DepartureRecall, MeshReply, MeshRequest};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// Interval at which a started node looks for nodes to ask, and asks those again that have not answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a started node has heard of departures of its target that earlier processes of the node confirmed.
#[derive(Debug)]
pub(super) struct OwnDepartures {
    recall: Mutex<DepartureRecall>,
    /// Whether the node has heard of all that it can.
    is_complete: watch::Sender<bool>,
}

impl OwnDepartures {
    pub(super) fn new(started_at: Timestamp) -> OwnDepartures {
        OwnDepartures {
            recall: Mutex::new(DepartureRecall::new(started_at)),
            is_complete: watch::Sender::new(false),
        }
    }

    fn recall(&self) -> MutexGuard<'_, DepartureRecall> {
        self.recall.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks for the departures of this node's target that an earlier process of the node confirmed, before any
/// target is taken as ready.
impl MeshShared {
    /// Waits until the node has heard of the departures that an earlier process of it confirmed. Returns
    /// `false` if it has not after `max_wait`; a report of a target may come from one that has left then.
    pub async fn wait_for_departures(&self, max_wait: Duration) -> bool {
        let mut is_complete = self.own_departures.is_complete.subscribe();
        // The sender lives as long as the node, so waiting cannot fail.
        timeout(max_wait, is_complete.wait_for(|it| *it)).await.is_ok()
    }

    /// Records that the store has told whether it has a departure.
    pub(super) fn record_departure_read(&self) {
        self.own_departures.recall().record_store_answer();
    }

    /// Asks the nodes that may keep departures for this one, until nothing more can be heard.
    pub(super) async fn recall_own_departures(self: Arc<MeshShared>) {
        let mut calls = JoinSet::new();
        let mut asked: Vec<NodeId> = Vec::new();
        loop {
            let keepers = self.recall_candidates();
            let now = self.clock.now();
            if self.own_departures.recall().is_complete(now, keepers.as_deref()) {
                break;
            }
            let to_ask = self.own_departures.recall().to_ask(now, keepers.as_deref());
            for node in to_ask {
                if !asked.contains(&node) {
                    calls.spawn(Arc::clone(&self).ask_for_departures(node));
                    asked.push(node);
                }
            }
            tokio::select! {
                Some(Ok(node)) = calls.join_next() => asked.retain(|it| *it != node),
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
        self.log_recall();
        self.own_departures.is_complete.send_replace(true);
    }

    fn log_recall(&self) {
        let recall = self.own_departures.recall();
        log_event!(
            LogEvent::DeparturesRecalled,
            "after_ms={} store={} asked={} answered={}",
            self.clock.now().as_millis(),
            recall.has_store_answered(),
            self.recall_candidates().map_or(0, |it| it.len()),
            recall.answer_count()
        );
    }

    /// The nodes that may keep departures for this one and can be asked; `None` while the members are not
    /// known.
    fn recall_candidates(&self) -> Option<Vec<NodeId>> {
        let has_synced = self.members.read(Membership::has_synced);
        let candidates = || self.keeper_candidates().into_iter();
        has_synced.then(|| candidates().filter(|it| self.answers_recalls(*it)).collect())
    }

    /// Asks a node what it keeps for this one, and applies it. Returns the node.
    async fn ask_for_departures(self: Arc<MeshShared>, node: NodeId) -> NodeId {
        match self.call_peer(node.addr, MeshRequest::KeptDepartures).await {
            Some(MeshReply::KeptDepartures(kept)) => {
                for departed in kept {
                    self.apply_past_departure(departed, "peer");
                }
                self.own_departures.recall().record_answer(node);
            }
            Some(reply) => log::warn!("unexpected reply node={node} reply={reply:?}"),
            None => sleep(CHECK_INTERVAL).await,
        }
        node
    }
}
