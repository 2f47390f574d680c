use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::mesh::{
    DepartedTarget, KeptDepartures, MeshReply, MeshRequest, RegistryChange,
};
use rand::seq::IteratorRandom;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// Longest wait before a departure is confirmed; targets give up a second after their call.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(800);
/// Time for which both the store and other nodes are waited for. One of them is enough afterwards.
const MAX_BOTH_TIME: Duration = Duration::from_millis(400);
/// Nodes that are asked at a time to keep a departure.
const ASKED_NODES: usize = 3;
/// Nodes that have to keep a departure, as far as there are so many.
const MIN_KEEPERS: usize = 2;
/// Wait before other nodes are asked, or the same ones again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Wait between two tries to tell a restarted node what was kept for it.
const RECALL_INTERVAL: Duration = Duration::from_millis(500);

/// Where departures of targets are known besides at the gates beside them.
#[derive(Debug, Default)]
pub(super) struct DepartureRecords {
    /// The departure of this node's target that the store has.
    stored: watch::Sender<Option<DepartedTarget>>,
    /// The departure of this node's target that other nodes keep.
    kept_elsewhere: watch::Sender<Option<DepartedTarget>>,
    /// Departures that this node keeps for others.
    kept_for_others: Mutex<KeptDepartures>,
}

impl DepartureRecords {
    /// Records what the store has of this node's target.
    pub(super) fn set_stored(&self, stored: Option<DepartedTarget>) {
        self.stored.send_replace(stored);
    }

    async fn wait_until_stored(&self, departed: &DepartedTarget) {
        let mut stored = self.stored.subscribe();
        // The sender lives as long as the records, so waiting cannot fail.
        let _ = stored.wait_for(|it| it.as_ref() == Some(departed)).await;
    }

    fn kept_for_others(&self) -> MutexGuard<'_, KeptDepartures> {
        self.kept_for_others.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Who knows of a departure besides this process.
#[derive(Debug, Clone, Copy, Default)]
struct Recorded {
    in_store: bool,
    elsewhere: bool,
}

/// Confirms departures of the target beside this node only once they outlive this process: in the store
/// and at other nodes. The store may refuse the next process, or come back from a copy that lacks the
/// departure; the other nodes may restart as well. While one of the two is not to be had, the other is
/// enough.
impl MeshShared {
    /// Waits until the departure of this node's target outlives this process. Returns `false` if that
    /// takes too long; the target must not be told that its departure is known then. Returns `true`
    /// at once while a target is in use.
    pub async fn confirm_departure(self: &Arc<MeshShared>) -> bool {
        let Some(departed) = self.gate.departed_target() else { return true };
        let is_confirmed = self.record_departure(&departed).await;
        if !is_confirmed {
            log_event!(LogEvent::DepartureNotConfirmed, "instance={}", departed.instance);
        }
        is_confirmed
    }

    /// Waits until the store and other nodes know of a departure, or for long enough for one of them.
    /// Returns whether any does.
    async fn record_departure(self: &Arc<MeshShared>, departed: &DepartedTarget) -> bool {
        let mut recorded = Recorded::default();
        let stored = self.departures.wait_until_stored(departed);
        let kept = self.keep_elsewhere(departed);
        let tried_both = sleep(MAX_BOTH_TIME);
        let timed_out = sleep(MAX_CONFIRM_TIME);
        tokio::pin!(stored, kept, tried_both, timed_out);
        let mut is_one_enough = self.possible_keepers().is_empty();
        loop {
            let has_one = recorded.in_store || recorded.elsewhere;
            if (recorded.in_store && recorded.elsewhere) || (is_one_enough && has_one) {
                return true;
            }
            tokio::select! {
                () = &mut stored, if !recorded.in_store => recorded.in_store = true,
                () = &mut kept, if !recorded.elsewhere => recorded.elsewhere = true,
                () = &mut tried_both, if !is_one_enough => is_one_enough = true,
                () = &mut timed_out => return has_one,
            }
        }
    }

    /// Resolves once enough other nodes keep a departure.
    async fn keep_elsewhere(self: &Arc<MeshShared>, departed: &DepartedTarget) {
        if self.departures.kept_elsewhere.borrow().as_ref() == Some(departed) {
            return;
        }
        let mut keepers = Vec::new();
        loop {
            let others = self.possible_keepers();
            let needed = MIN_KEEPERS.min(others.len()).max(1);
            let asked = others.into_iter().filter(|it| !keepers.contains(it));
            let asked = asked.choose_multiple(&mut rand::rng(), ASKED_NODES);
            keepers.extend(self.ask_to_keep(asked, departed).await);
            if keepers.len() >= needed {
                let nodes = keepers.len();
                let instance = &departed.instance;
                log_event!(LogEvent::DepartureKeptElsewhere, "instance={instance} nodes={nodes}");
                self.departures.kept_elsewhere.send_replace(Some(departed.clone()));
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Addresses of the other nodes in use that can keep departures: those of this region if there are
    /// enough, as bytes between regions are dear, or else all.
    fn possible_keepers(&self) -> Vec<SocketAddr> {
        let members: Vec<Member> = self.members.read(|it| it.table().live().cloned().collect());
        let is_possible = |it: &Member| it.node != self.me && self.keeps_departures(it.node);
        let possible: Vec<Member> = members.into_iter().filter(is_possible).collect();
        let is_near = |it: &&Member| it.region == self.region;
        let near: Vec<SocketAddr> =
            possible.iter().filter(is_near).map(|it| it.node.addr).collect();
        if near.len() >= MIN_KEEPERS {
            return near;
        }
        possible.into_iter().map(|it| it.node.addr).collect()
    }

    /// Asks nodes to keep a departure. Returns those that do.
    async fn ask_to_keep(
        self: &Arc<MeshShared>,
        nodes: Vec<SocketAddr>,
        departed: &DepartedTarget,
    ) -> Vec<SocketAddr> {
        let mut calls = JoinSet::new();
        for node in nodes {
            let (shared, departed) = (Arc::clone(self), departed.clone());
            calls.spawn(async move {
                let reply = shared.call_peer(node, MeshRequest::KeepDeparture(departed)).await;
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
        self.departure_changed.notify_one();
    }
}
