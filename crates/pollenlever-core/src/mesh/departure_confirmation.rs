use std::time::Duration;

use crate::Timestamp;

/// Longest wait before a departure is confirmed; targets give up a second after their call.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(800);
/// Time for which both the store and other nodes are waited for. One of them is enough afterwards.
const MAX_BOTH_TIME: Duration = Duration::from_millis(400);

/// Whether a target may be told that its departure is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationState {
    /// The departure outlives this process.
    Confirmed,
    /// It does not yet; nothing changes before the given time unless somebody takes the departure.
    WaitingUntil(Timestamp),
    /// Nobody took the departure in time. The target has to say it again.
    Failed,
}

/// Decides when a target is told that its departure is known: once the departure outlives this process, in
/// the store and at other nodes.
///
/// The store may refuse the next process of this node, or come back from a copy that lacks the departure;
/// the other nodes may restart as well. While one of the two is not to be had, the other is enough.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::mesh::{ConfirmationState, DepartureConfirmation};
/// let ms = Duration::from_millis;
/// let mut confirmation = DepartureConfirmation::new(ms(1_000), true);
/// confirmation.record_stored();
/// assert_eq!(confirmation.state(ms(1_010)), ConfirmationState::WaitingUntil(ms(1_400)));
/// assert_eq!(confirmation.state(ms(1_400)), ConfirmationState::Confirmed);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DepartureConfirmation {
    asked_at: Timestamp,
    has_other_nodes: bool,
    is_stored: bool,
    is_kept: bool,
}

impl DepartureConfirmation {
    /// Begins when a target says that it leaves; `has_other_nodes` says whether any node could keep the
    /// departure.
    pub fn new(asked_at: Timestamp, has_other_nodes: bool) -> DepartureConfirmation {
        DepartureConfirmation { asked_at, has_other_nodes, is_stored: false, is_kept: false }
    }

    /// Records that the store has the departure.
    pub fn record_stored(&mut self) {
        self.is_stored = true;
    }

    /// Records that enough other nodes keep the departure.
    pub fn record_kept(&mut self) {
        self.is_kept = true;
    }

    /// The state at `now`.
    pub fn state(&self, now: Timestamp) -> ConfirmationState {
        let (both_until, one_until) =
            (self.asked_at + MAX_BOTH_TIME, self.asked_at + MAX_CONFIRM_TIME);
        let is_one_enough = !self.has_other_nodes || now >= both_until;
        match (self.is_stored, self.is_kept) {
            (true, true) => ConfirmationState::Confirmed,
            (true, false) | (false, true) if is_one_enough => ConfirmationState::Confirmed,
            (true, false) | (false, true) => ConfirmationState::WaitingUntil(both_until),
            (false, false) if now < one_until => ConfirmationState::WaitingUntil(one_until),
            (false, false) => ConfirmationState::Failed,
        }
    }
}
