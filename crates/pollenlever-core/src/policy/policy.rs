use super::{Action, Event};
use crate::Timestamp;

/// A state machine that decides how requests are handled.
///
/// A driver calls [`handle`](Policy::handle) for each event, carries out the actions in order, and
/// sends [`Event::Tick`] at the time returned by [`next_wakeup`](Policy::next_wakeup).
pub trait Policy: Send {
    /// Events that the driver reports.
    type Event;
    /// Actions that the driver carries out.
    type Action;

    /// Handles one event and appends the resulting actions. `now` must not decrease between calls.
    fn handle(&mut self, now: Timestamp, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Earliest time at which the policy needs [`Event::Tick`]; `None` if it waits for no time.
    fn next_wakeup(&self) -> Option<Timestamp>;
}

/// A boxed node policy of any implementation.
pub type BoxPolicy = Box<dyn Policy<Event = Event, Action = Action>>;
