use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::message::{PeerReply, PeerRequest, SealReply};
use pollenlever_core::policy::{Action, BoxPolicy, Event, Policy};

/// The mechanism that is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Weakness {
    /// Gates say "sealed" without sealing.
    Seals,
    /// Origins grant every retry.
    Grants,
    /// Nodes do not learn that they are to leave.
    Drain,
    /// Homes do not see that a key comes with other content.
    Digests,
    /// Crashes are not told to other nodes.
    Suspicion,
}

/// A policy with one mechanism switched off.
pub(crate) struct Sabotage {
    inner: BoxPolicy,
    weakness: Weakness,
}

impl Sabotage {
    pub(crate) fn new(inner: BoxPolicy, weakness: Weakness) -> Sabotage {
        Sabotage { inner, weakness }
    }

    fn intercept(&self, event: &mut Event) -> Option<Action> {
        let Event::Request { stream, req, .. } = event else { return None };
        let reply = match (self.weakness, req) {
            (Weakness::Seals, PeerRequest::Seal(_)) => PeerReply::Seal(SealReply::Sealed),
            (Weakness::Grants, PeerRequest::Grant(_)) => PeerReply::Grant(true),
            (Weakness::Suspicion, PeerRequest::Suspects(_)) => PeerReply::Suspects,
            (Weakness::Suspicion, PeerRequest::Attempt(head)) => {
                head.crashes = 0;
                return None;
            }
            (Weakness::Digests, PeerRequest::Forward(head)) => {
                head.digest = 0;
                return None;
            }
            _ => return None,
        };
        Some(Action::Reply(*stream, reply, Bytes::new()))
    }
}

impl Policy for Sabotage {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Duration, mut event: Event, actions: &mut Vec<Action>) {
        if self.weakness == Weakness::Drain && event == Event::Leave {
            return;
        }
        match self.intercept(&mut event) {
            Some(action) => actions.push(action),
            None => self.inner.handle(now, event, actions),
        }
        if self.weakness == Weakness::Suspicion {
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
