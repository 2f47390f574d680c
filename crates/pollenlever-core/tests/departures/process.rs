use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{
    ConfirmationState, DepartedTarget, DepartureConfirmation, DepartureKeepers, DepartureRecall,
    StoreStep, StoredDeparture, TargetRegistry, TargetReport,
};

use crate::store::{CallOutcome, Store};

/// Longest wait at the start for the store, in the earlier designs.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which the earlier design waited for the store before it asked other nodes.
const STORE_ALONE_TIME: Duration = Duration::from_millis(100);

/// Rules by which departures are confirmed and kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Design {
    Present,
    /// Other nodes were asked only if the store was slow, and one of the two was enough (dc78929).
    StoreFirst,
    /// Keepers were asked only until the departure was confirmed, and not replaced (882ff00).
    KeepersNotReplaced,
    /// A started node took reports after the store's answer, or 1.5 s without one (0723d75).
    ReportsBeforeRecall,
}

/// A process of the node beside the target.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) node: NodeId,
    pub(crate) registry: TargetRegistry,
    design: Design,
    started_at: Timestamp,
    stored: StoredDeparture,
    is_read: bool,
    recall: DepartureRecall,
    /// Whether the process knows the other nodes.
    has_joined: bool,
    version: u64,
    known_era: u64,
    keepers: DepartureKeepers,
    /// A departure that the target waits to be confirmed, and since when.
    asked: Option<(DepartedTarget, DepartureConfirmation, Timestamp)>,
}

impl Process {
    pub(crate) fn start(design: Design, node: NodeId, now: Timestamp, era: u64) -> Process {
        Process {
            node,
            registry: TargetRegistry::default(),
            design,
            started_at: now,
            stored: StoredDeparture::default(),
            is_read: false,
            recall: DepartureRecall::new(now),
            has_joined: false,
            version: 0,
            known_era: era,
            keepers: DepartureKeepers::default(),
            asked: None,
        }
    }

    /// Takes a report of a target, unless the node may not have heard of the target's departure yet.
    pub(crate) fn report(&mut self, now: Timestamp, report: TargetReport, others: &[NodeId]) {
        let takes_reports = match self.design {
            Design::Present => self.recall.is_complete(now, self.known(others)),
            _ => self.is_read || now >= self.started_at + RECOVERY_TIMEOUT,
        };
        if !takes_reports {
            return;
        }
        let is_draining = report.is_draining;
        self.registry.handle_report(now, report);
        let departed = self.registry.departed();
        if let Some(departed) = departed.filter(|_| is_draining) {
            let is_asked = self.asked.as_ref().is_some_and(|it| it.0 == departed);
            if !is_asked {
                self.asked = Some((departed, DepartureConfirmation::new(now, true), now));
            }
        }
    }

    fn known<'a>(&self, others: &'a [NodeId]) -> Option<&'a [NodeId]> {
        self.has_joined.then_some(others)
    }

    /// Learns of the other nodes.
    pub(crate) fn join(&mut self) {
        self.has_joined = true;
    }

    /// The nodes that the started process has to ask what they keep for it.
    pub(crate) fn recall_requests(&mut self, now: Timestamp, others: &[NodeId]) -> Vec<NodeId> {
        let known = self.known(others);
        self.recall.to_ask(now, known)
    }

    /// Takes what another node keeps for this one.
    pub(crate) fn take_kept(&mut self, from: NodeId, kept: Vec<DepartedTarget>) {
        for departed in kept {
            self.registry.handle_past_departure(departed);
        }
        self.recall.record_answer(from);
    }

    /// The departure that the target may be told now that it is known.
    pub(crate) fn confirm(&mut self, now: Timestamp, others: &[NodeId]) -> Option<DepartedTarget> {
        let (departed, mut confirmation, _) = self.asked.clone()?;
        let is_stored = self.stored.departed() == Some(&departed);
        let is_kept = self.keepers.are_enough(&departed, others);
        if is_stored {
            confirmation.record_stored();
        }
        if is_kept {
            confirmation.record_kept();
        }
        let is_confirmed = match self.design {
            Design::StoreFirst => is_stored || is_kept,
            _ => confirmation.state(now) == ConfirmationState::Confirmed,
        };
        if is_confirmed || confirmation.state(now) == ConfirmationState::Failed {
            self.asked = None;
        }
        is_confirmed.then_some(departed)
    }

    /// Takes the next step at the store. Its answer may be lost.
    pub(crate) fn call_store(&mut self, store: &mut Store, is_lost: bool) {
        let step = self.stored.next_step(self.registry.departed().as_ref());
        let object = match step {
            StoreStep::Wait => return,
            StoreStep::Read if store.refuses || is_lost => return,
            StoreStep::Read => {
                if let Some(departed) = self.record_found(store) {
                    self.registry.handle_past_departure(departed);
                }
                return;
            }
            StoreStep::Write(departed) => Some(departed),
            StoreStep::Delete => None,
        };
        let outcome = store.replace(self.version, object);
        if outcome != CallOutcome::Refused && !is_lost {
            self.record_found(store);
        }
    }

    fn record_found(&mut self, store: &Store) -> Option<DepartedTarget> {
        self.is_read = true;
        self.recall.record_store_answer();
        self.version = store.version;
        self.stored.record_found(store.object.is_some(), store.object.clone());
        store.object.clone()
    }

    /// Learns that the store came back from a copy.
    pub(crate) fn learn_era(&mut self, era: u64) {
        if self.known_era < era {
            self.known_era = era;
            self.stored.forget();
        }
    }

    /// The departure to be kept and the nodes that are asked to.
    pub(crate) fn keep_requests(
        &mut self,
        now: Timestamp,
        others: &[NodeId],
    ) -> Option<(DepartedTarget, Vec<NodeId>)> {
        let departed = self.registry.departed()?;
        let asked_at = self.asked.as_ref().map(|it| it.2);
        let asks = match self.design {
            Design::Present | Design::ReportsBeforeRecall => true,
            Design::KeepersNotReplaced => asked_at.is_some(),
            Design::StoreFirst => asked_at.is_some_and(|it| now >= it + STORE_ALONE_TIME),
        };
        let to_ask = if asks { self.keepers.to_ask(&departed, others) } else { Vec::new() };
        Some((departed, to_ask))
    }

    pub(crate) fn record_keeper(&mut self, departed: &DepartedTarget, keeper: NodeId) {
        self.keepers.record(departed, keeper);
    }
}
