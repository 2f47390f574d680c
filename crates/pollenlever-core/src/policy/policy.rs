use super::{Action, Event};
use crate::Timestamp;

/// A state machine that decides about requests.
///
/// A driver calls [`handle`](Policy::handle) for each event, carries out the actions in order, and
/// sends [`Event::Tick`] when [`next_wakeup`](Policy::next_wakeup) is reached.
pub trait Policy: Send {
    /// What the driver reports.
    type Event;
    /// What the driver carries out.
    type Action;

    /// Takes one event and appends the actions that follow from it. `now` never goes back.
    fn handle(&mut self, now: Timestamp, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Earliest time at which the policy wants [`Event::Tick`].
    fn next_wakeup(&self) -> Option<Timestamp>;
}

/// The policy of a node, whichever one it is.
pub type BoxPolicy = Box<dyn Policy<Event = Event, Action = Action>>;
