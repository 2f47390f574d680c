use std::collections::BTreeSet;

use super::delivery::DeliveryId;
use crate::Timestamp;
use crate::id::{CallId, ExchangeId, StreamId};

/// What is due when a timer fires. A timer is ignored if the object it refers to has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of a call has passed.
    CallDeadline(CallId),
    /// The reply to a delivery's attempt is overdue.
    ReplyOverdue(DeliveryId),
    /// The gate is to be asked again to seal an attempt.
    RetrySeal(DeliveryId),
    /// The origin has not replied to a grant request in time.
    GrantTimeout(ExchangeId),
    /// The gate has not replied to a seal request in time.
    SealTimeout(ExchangeId),
    /// The deadline of a parked suspect has passed.
    ParkedDeadline(StreamId),
    /// A suspect has waited too long to run alone on its target.
    SuspectWait(StreamId),
    /// The next gossip round of crash reports is due.
    SpreadSuspicion,
    /// The possible successors of a gone home are to be asked again.
    HandoverRetry(CallId),
    /// A leaving node may end once it is idle.
    LeaveNoticeEnded,
    /// Attempts that still wait at a leaving gate are to be refused.
    QueueDrainTimeout,
}

/// Pending timers, ordered by time.
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
