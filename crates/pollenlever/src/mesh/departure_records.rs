use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::mesh::{
    ConfirmationState, DepartedTarget, DepartureConfirmation, DepartureKeepers, KeptDepartures,
    MIN_KEEPERS, MeshReply, MeshRequest, RegistryChange, keeper_candidates,
};
use rand::seq::IteratorRandom;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// Nodes that are asked at a time to keep a departure.
const ASKED_NODES: usize = 3;
/// Wait before other nodes are asked, or the same ones again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Tries at that interval. While all nodes leave, none keeps anything.
const QUICK_RETRIES: u32 = 8;
/// Time between further tries, and after which a node whose target has left checks that the nodes that keep
/// its departure still run.
const KEEPERS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Wait between two tries to tell a restarted node what was kept for it.
const RECALL_INTERVAL: Duration = Duration::from_millis(500);

/// Where departures of targets are known besides at the gates beside them.
#[derive(Debug, Default)]
pub(super) struct DepartureRecords {
    /// The departure of this node's target that the store has.
    stored: watch::Sender<Option<DepartedTarget>>,
    /// The departure of this node's target that other nodes keep.
    kept_elsewhere: watch::Sender<Option<DepartedTarget>>,
    /// Signalled when another departure of this node's target may have to be kept elsewhere.
    changed: Notify,
    /// Departures that this node keeps for others.
    kept_for_others: Mutex<KeptDepartures>,
}

impl DepartureRecords {
    /// Records what the store has of this node's target.
    pub(super) fn set_stored(&self, stored: Option<DepartedTarget>) {
        self.stored.send_replace(stored);
    }

    fn kept_for_others(&self) -> MutexGuard<'_, KeptDepartures> {
        self.kept_for_others.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Confirms departures of the target beside this node only once they outlive this process, and sees to it
/// that other nodes keep them.
impl MeshShared {
    /// Waits until the departure of this node's target outlives this process. Returns `false` if that
    /// takes too long; the target must not be told that its departure is known then. Returns `true`
    /// at once while a target is in use.
    pub async fn confirm_departure(self: &Arc<MeshShared>) -> bool {
        let Some(departed) = self.gate.departed_target() else { return true };
        let is_confirmed = self.wait_until_recorded(&departed).await;
        if !is_confirmed {
            log_event!(LogEvent::DepartureNotConfirmed, "instance={}", departed.instance);
        }
        is_confirmed
    }

    /// Waits until the store and other nodes know of a departure, or for long enough for one of them.
    /// Returns whether any does.
    async fn wait_until_recorded(&self, departed: &DepartedTarget) -> bool {
        let has_other_nodes = !self.keeper_candidates().is_empty();
        let mut confirmation = DepartureConfirmation::new(self.clock.now(), has_other_nodes);
        let stored = wait_until_known(&self.departures.stored, departed);
        let kept = wait_until_known(&self.departures.kept_elsewhere, departed);
        tokio::pin!(stored, kept);
        let (mut is_stored, mut is_kept) = (false, false);
        loop {
            let now = self.clock.now();
            let until = match confirmation.state(now) {
                ConfirmationState::Confirmed => return true,
                ConfirmationState::Failed => return false,
                ConfirmationState::WaitingUntil(until) => until,
            };
            tokio::select! {
                () = &mut stored, if !is_stored => {
                    is_stored = true;
                    confirmation.record_stored();
                }
                () = &mut kept, if !is_kept => {
                    is_kept = true;
                    confirmation.record_kept();
                }
                () = sleep(until.saturating_sub(now)) => {}
            }
        }
    }

    /// Sees to it that enough other nodes keep the departure of this node's target, for as long as the
    /// node runs.
    pub(super) async fn keep_departures_elsewhere(self: Arc<MeshShared>) {
        let mut keepers = DepartureKeepers::default();
        let mut failed_tries = 0;
        loop {
            let Some(departed) = self.gate.departed_target() else {
                self.departures.changed.notified().await;
                continue;
            };
            let candidates = self.keeper_candidates();
            let to_ask = keepers.to_ask(&departed, &candidates);
            if !to_ask.is_empty() {
                failed_tries += 1;
                let asked = to_ask.into_iter().choose_multiple(&mut rand::rng(), ASKED_NODES);
                for keeper in self.ask_to_keep(asked, &departed).await {
                    keepers.record(&departed, keeper);
                }
                if keepers.are_enough(&departed, &candidates) {
                    failed_tries = 0;
                    self.record_kept_elsewhere(departed, keepers.count());
                }
            }
            let is_retry_due = (1..=QUICK_RETRIES).contains(&failed_tries);
            let pause = if is_retry_due { RETRY_INTERVAL } else { KEEPERS_CHECK_INTERVAL };
            if timeout(pause, self.departures.changed.notified()).await.is_ok() {
                failed_tries = 0;
            }
        }
    }

    fn record_kept_elsewhere(&self, departed: DepartedTarget, nodes: usize) {
        let instance = &departed.instance;
        log_event!(LogEvent::DepartureKeptElsewhere, "instance={instance} nodes={nodes}");
        self.departures.kept_elsewhere.send_replace(Some(departed));
    }

    /// Has the departure of the target beside this node written down, if it has left.
    pub(super) fn record_departure(&self) {
        self.departure_changed.notify_one();
        self.departures.changed.notify_one();
    }

    /// The other nodes that may keep the departures of this node's target: some of those in use that can, of
    /// this region if there are enough, as bytes between regions are dear, or else of all.
    pub(super) fn keeper_candidates(&self) -> Vec<NodeId> {
        let members: Vec<Member> = self.members.read(|it| it.table().live().cloned().collect());
        let is_possible = |it: &Member| it.node != self.me && self.keeps_departures(it.node);
        let possible: Vec<Member> = members.into_iter().filter(is_possible).collect();
        let is_near = |it: &&Member| it.region == self.region;
        let near: Vec<NodeId> = possible.iter().filter(is_near).map(|it| it.node).collect();
        if near.len() >= MIN_KEEPERS {
            return keeper_candidates(self.me.addr, &near);
        }
        let all: Vec<NodeId> = possible.iter().map(|it| it.node).collect();
        keeper_candidates(self.me.addr, &all)
    }

    /// Asks nodes to keep a departure. Returns those that do.
    async fn ask_to_keep(
        self: &Arc<MeshShared>,
        nodes: Vec<NodeId>,
        departed: &DepartedTarget,
    ) -> Vec<NodeId> {
        let mut calls = JoinSet::new();
        for node in nodes {
            let (shared, departed) = (Arc::clone(self), departed.clone());
            calls.spawn(async move {
                let reply = shared.call_peer(node.addr, MeshRequest::KeepDeparture(departed)).await;
                (reply == Some(MeshReply::Acknowledged)).then_some(node)
            });
        }
        calls.join_all().await.into_iter().flatten().collect()
    }

    /// Keeps the departure of the target beside another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`] if this node leaves, [`ErrorKind::Overloaded`] if there is no room.
    pub(super) fn keep_departure(
        &self,
        from: NodeId,
        departed: DepartedTarget,
    ) -> Result<(), ErrorKind> {
        if self.is_leaving() {
            return Err(ErrorKind::Leaving);
        }
        let is_kept = self.departures.kept_for_others().keep(from, departed);
        if is_kept { Ok(()) } else { Err(ErrorKind::Overloaded) }
    }

    /// The departures that this node keeps for processes of another one.
    pub(super) fn kept_departures_of(&self, node: NodeId) -> Vec<DepartedTarget> {
        self.departures.kept_for_others().kept_for(node.addr)
    }

    /// Tells a restarted node of the departures that its earlier processes asked this node to keep.
    pub(super) fn recall_departures(self: &Arc<MeshShared>, node: NodeId) {
        for departed in self.departures.kept_for_others().begin_recall(node) {
            tokio::spawn(Arc::clone(self).recall_until_acknowledged(node, departed));
        }
    }

    async fn recall_until_acknowledged(
        self: Arc<MeshShared>,
        node: NodeId,
        departed: DepartedTarget,
    ) {
        while self.members.read(|it| it.table().is_live(node)) {
            let req = MeshRequest::RecallDeparture(departed.clone());
            if self.call_peer(node.addr, req).await == Some(MeshReply::Acknowledged) {
                return;
            }
            sleep(RECALL_INTERVAL).await;
        }
    }

    /// Takes the target out of use if it has left, as another node or the store remembers.
    pub(super) fn apply_past_departure(&self, departed: DepartedTarget, source: &str) {
        log_event!(LogEvent::TargetLeaving, "source={source} instance={}", departed.instance);
        if self.gate.handle_past_departure(departed) == RegistryChange::Closed {
            self.announce_target();
        }
        self.record_departure();
    }
}

/// Resolves once `records` hold a departure.
async fn wait_until_known(
    records: &watch::Sender<Option<DepartedTarget>>,
    departed: &DepartedTarget,
) {
    // The sender lives as long as the records, so waiting cannot fail.
    let _ = records.subscribe().wait_for(|it| it.as_ref() == Some(departed)).await;
}
