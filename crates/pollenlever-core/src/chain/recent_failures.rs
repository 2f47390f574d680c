use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::Timestamp;
use crate::id::{ChainId, ContentDigest};

/// Calls that lately ended without an answer from a target.
///
/// An equal call within the window is taken for a resend and joins the chain of the first. A call
/// equal to one that was answered is a new request.
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

    /// Notes that a call of the chain failed.
    pub(crate) fn insert(&mut self, now: Timestamp, digest: ContentDigest, chain: ChainId) {
        self.expire(now);
        if self.order.len() == self.capacity {
            self.forget_oldest();
        }
        self.chains.insert(digest, (chain, now));
        self.order.push_back((now, digest));
    }

    /// The chain that an equal call joins.
    pub(crate) fn chain_of(&mut self, now: Timestamp, digest: ContentDigest) -> Option<ChainId> {
        self.expire(now);
        self.chains.get(&digest).map(|(chain, _)| *chain)
    }

    /// Notes that an equal call was answered: what comes next is a new request.
    pub(crate) fn answered(&mut self, digest: ContentDigest) {
        self.chains.remove(&digest);
    }

    fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(at, _)| *at + self.window <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, digest)) = self.order.pop_front() else { return };
        if self.chains.get(&digest).is_some_and(|(_, noted)| *noted == at) {
            self.chains.remove(&digest);
        }
    }
}
