use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Timestamp;
use crate::id::{ChainId, ContentDigest};

/// Chains of calls that recently ended without an answer from a target, by content digest.
///
/// An equal call within the window is treated as a resend and joins the chain of the failed call.
/// After a call was answered, an equal call is a new request.
#[derive(Debug)]
pub(crate) struct RecentFailures {
    window: Duration,
    capacity: usize,
    chains: BTreeMap<ContentDigest, (ChainId, Timestamp)>,
    order: VecDeque<(Timestamp, ContentDigest)>,
}

impl RecentFailures {
    pub(crate) fn new(window: Duration, capacity: usize) -> RecentFailures {
        RecentFailures { window, capacity, chains: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Records that a call of the chain failed. Drops the oldest failure if the capacity is
    /// reached.
    pub(crate) fn record_failure(&mut self, now: Timestamp, digest: ContentDigest, chain: ChainId) {
        self.expire(now);
        if self.order.len() == self.capacity {
            self.remove_oldest();
        }
        self.chains.insert(digest, (chain, now));
        self.order.push_back((now, digest));
    }

    /// Chain that an equal call joins; `None` if no equal call failed within the window.
    pub(crate) fn chain_of_failed_call(
        &mut self,
        now: Timestamp,
        digest: ContentDigest,
    ) -> Option<ChainId> {
        self.expire(now);
        self.chains.get(&digest).map(|(chain, _)| *chain)
    }

    /// Records that an equal call was answered, so that the next one starts a new chain.
    pub(crate) fn record_answered(&mut self, digest: ContentDigest) {
        self.chains.remove(&digest);
    }

    fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(recorded_at, _)| *recorded_at + self.window <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((recorded_at, digest)) = self.order.pop_front() else { return };
        if self.chains.get(&digest).is_some_and(|(_, recorded)| *recorded == recorded_at) {
            self.chains.remove(&digest);
        }
    }
}
