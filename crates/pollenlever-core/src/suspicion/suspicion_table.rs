use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::Timestamp;
use crate::id::ContentDigest;
use crate::message::Suspicion;

/// Number of target crashes for each request content that was in flight when the targets crashed.
///
/// Entries expire after `ttl`; above `capacity`, the least recently updated one is dropped.
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

    /// Number of crashes counted for a request; 0 if none is known.
    pub(crate) fn crashes(&self, digest: ContentDigest) -> u32 {
        self.counts.get(&digest).map_or(0, |(crashes, _)| *crashes)
    }

    /// Number of requests with at least `min_crashes` crashes.
    pub(crate) fn count_with_at_least(&self, min_crashes: u32) -> usize {
        self.counts.values().filter(|(crashes, _)| *crashes >= min_crashes).count()
    }

    /// All requests with crashes and their counts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspicion> {
        self.counts.iter().map(|(&digest, &(crashes, _))| Suspicion { digest, crashes })
    }

    /// Raises the count of a request to the reported one if that is higher. Returns whether it was.
    pub(crate) fn record_at_least(&mut self, now: Timestamp, reported: Suspicion) -> bool {
        let current = self.crashes(reported.digest);
        if reported.crashes <= current {
            return false;
        }
        self.remove(reported.digest);
        if self.counts.len() >= self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.counts.remove(&oldest);
        }
        self.counts.insert(reported.digest, (reported.crashes, now));
        self.order.insert((now, reported.digest));
        true
    }

    /// Removes the count of a request that ran without a crash.
    pub(crate) fn remove(&mut self, digest: ContentDigest) {
        if let Some((_, updated)) = self.counts.remove(&digest) {
            self.order.remove(&(updated, digest));
        }
    }

    /// Removes counts that are older than the time to live.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(&(updated, digest)) = self.order.first() {
            if updated + self.ttl > now {
                break;
            }
            self.remove(digest);
        }
    }
}
