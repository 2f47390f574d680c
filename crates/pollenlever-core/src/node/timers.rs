use std::collections::BTreeSet;

use super::delivery::DeliveryId;
use crate::Timestamp;
use crate::id::{CallId, ExchangeId, StreamId};

/// What a node has to look at when its time comes. A timer of something that has ended does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of a call has passed.
    CallDeadline(CallId),
    /// The reply to a delivery's attempt is overdue.
    ReplyOverdue(DeliveryId),
    /// The gate is to be asked again about an attempt.
    AskSeal(DeliveryId),
    /// The origin has not granted a retry in time.
    GrantTimeout(ExchangeId),
    /// The gate has not said in time what became of an attempt.
    SealTimeout(ExchangeId),
    /// The deadline of a request that waits apart from others has passed.
    ParkedDeadline(StreamId),
    /// A suspect has waited too long for its target to be free.
    SuspectWait(StreamId),
    /// News of crashes is passed on.
    SpreadSuspicion,
    /// The successors of a home that may be leaving are asked again.
    HandoverPause(CallId),
    /// A leaving node may end.
    Linger,
    /// What still waits at a leaving gate is refused.
    DrainQueue,
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BTreeSet<(Timestamp, Timer)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.queue.insert((at, timer));
    }

    pub(super) fn clear(&mut self, at: Timestamp, timer: Timer) {
        self.queue.remove(&(at, timer));
    }

    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, _) = self.queue.first()?;
        if *at > now {
            return None;
        }
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    pub(super) fn next(&self) -> Option<Timestamp> {
        self.queue.first().map(|(at, _)| *at)
    }
}
