use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::message::{PeerReply, PeerRequest, SealReply};
use pollenlever_core::policy::{Action, BoxPolicy, Event, Policy};

/// A mechanism that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// Gates reply that an attempt is sealed without sealing it.
    Seals,
    /// Origins grant every retry.
    Grants,
    /// Nodes ignore the request to leave.
    Drain,
    /// Homes do not detect that a key is reused with other content.
    Digests,
    /// Nodes do not report crashes to each other.
    Suspicion,
}

/// A policy with one mechanism disabled, to show that a check detects its absence.
pub(crate) struct PolicyWithout {
    inner: BoxPolicy,
    disabled: Mechanism,
}

impl PolicyWithout {
    pub(crate) fn new(inner: BoxPolicy, disabled: Mechanism) -> PolicyWithout {
        PolicyWithout { inner, disabled }
    }

    fn intercept(&self, event: &mut Event) -> Option<Action> {
        let Event::Request { stream, req, .. } = event else { return None };
        let reply = match (self.disabled, req) {
            (Mechanism::Seals, PeerRequest::Seal(_)) => PeerReply::Seal(SealReply::Sealed),
            (Mechanism::Grants, PeerRequest::Grant(_)) => PeerReply::Grant(true),
            (Mechanism::Suspicion, PeerRequest::Suspects(_)) => PeerReply::Suspects,
            (Mechanism::Suspicion, PeerRequest::Attempt(head)) => {
                head.crashes = 0;
                return None;
            }
            (Mechanism::Digests, PeerRequest::Forward(head)) => {
                head.digest = 0;
                return None;
            }
            _ => return None,
        };
        Some(Action::Reply(*stream, reply, Bytes::new()))
    }
}

impl Policy for PolicyWithout {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Duration, mut event: Event, actions: &mut Vec<Action>) {
        if self.disabled == Mechanism::Drain && event == Event::Leave {
            return;
        }
        match self.intercept(&mut event) {
            Some(action) => actions.push(action),
            None => self.inner.handle(now, event, actions),
        }
        if self.disabled == Mechanism::Suspicion {
            actions.iter_mut().for_each(hide_crashes);
        }
    }

    fn next_wakeup(&self) -> Option<Duration> {
        self.inner.next_wakeup()
    }
}

fn hide_crashes(action: &mut Action) {
    if let Action::Reply(_, PeerReply::Attempt(_, load), _) = action {
        load.crashes = 0;
    }
}
