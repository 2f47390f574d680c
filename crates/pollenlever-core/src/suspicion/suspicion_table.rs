use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::Timestamp;
use crate::id::ContentDigest;
use crate::message::Suspicion;

/// Crashes of targets, counted against the requests that were in flight.
#[derive(Debug)]
pub(crate) struct SuspicionTable {
    ttl: Duration,
    capacity: usize,
    counts: BTreeMap<ContentDigest, (u32, Timestamp)>,
    order: BTreeSet<(Timestamp, ContentDigest)>,
}

impl SuspicionTable {
    pub(crate) fn new(ttl: Duration, capacity: usize) -> SuspicionTable {
        SuspicionTable { ttl, capacity, counts: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// Crashes counted against a request.
    pub(crate) fn crashes(&self, digest: ContentDigest) -> u32 {
        self.counts.get(&digest).map_or(0, |(crashes, _)| *crashes)
    }

    /// Requests with at least so many crashes.
    pub(crate) fn count_of(&self, min_crashes: u32) -> usize {
        self.counts.values().filter(|(crashes, _)| *crashes >= min_crashes).count()
    }

    /// All requests with crashes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspicion> {
        self.counts.iter().map(|(&digest, &(crashes, _))| Suspicion { digest, crashes })
    }

    /// Raises the count to that of a peer. Returns whether it was news.
    pub(crate) fn raise(&mut self, now: Timestamp, news: Suspicion) -> bool {
        let known = self.crashes(news.digest);
        if news.crashes <= known {
            return false;
        }
        self.clear(news.digest);
        if self.counts.len() >= self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.counts.remove(&oldest);
        }
        self.counts.insert(news.digest, (news.crashes, now));
        self.order.insert((now, news.digest));
        true
    }

    /// Forgets the crashes of a request that has run.
    pub(crate) fn clear(&mut self, digest: ContentDigest) {
        if let Some((_, noted)) = self.counts.remove(&digest) {
            self.order.remove(&(noted, digest));
        }
    }

    /// Forgets crashes that are older than the time to live.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(&(noted, digest)) = self.order.first() {
            if noted + self.ttl > now {
                break;
            }
            self.clear(digest);
        }
    }
}
