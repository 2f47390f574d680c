use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{BucketId, Change, Digest, GossipMessage, GossipPurpose, Health, Member, Stamp};
use crate::Timestamp;
use crate::id::NodeId;

/// Result of merging a change into the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// The table has this change already.
    Duplicate,
    /// The change was ignored because the table has this newer one.
    Outdated(Change),
    /// The change was stored and replaced this one, if there was an entry.
    Applied(Option<Change>),
}

/// Latest change to a member and the time at which this node stored it.
#[derive(Debug, Clone)]
struct Entry {
    change: Change,
    since: Timestamp,
}

/// All members by address, including tombstones of those that are gone, with an up-to-date digest.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<SocketAddr, Entry>,
    digest: Digest,
}

impl MemberTable {
    /// Stores `change` if it is newer than the entry at its address.
    pub fn merge(&mut self, now: Timestamp, change: Change) -> MergeResult {
        let addr = change.addr();
        let before = self.entries.get(&addr).map(|it| &it.change);
        if let Some(before) = before {
            if before.stamp() == change.stamp() {
                return MergeResult::Duplicate;
            }
            if before.stamp() > change.stamp() {
                return MergeResult::Outdated(before.clone());
            }
        }
        self.digest.toggle(&change);
        let before = self.entries.insert(addr, Entry { change, since: now });
        if let Some(before) = &before {
            self.digest.toggle(&before.change);
        }
        MergeResult::Applied(before.map(|it| it.change))
    }

    /// The entry at an address, whether live or gone.
    pub fn get(&self, addr: SocketAddr) -> Option<&Change> {
        self.entries.get(&addr).map(|it| &it.change)
    }

    /// Whether this process is a member that is not gone; it may be suspect.
    pub fn is_live(&self, node: NodeId) -> bool {
        self.get(node.addr).is_some_and(|it| it.member.node == node && it.health != Health::Gone)
    }

    /// Members that are not gone, in order of address.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let changes = self.entries.values().map(|it| &it.change);
        changes.filter(|it| it.health != Health::Gone).map(|it| &it.member)
    }

    /// Addresses of members that are gone, in order.
    pub fn gone(&self) -> impl Iterator<Item = SocketAddr> {
        let gone = self.entries.iter().filter(|(_, it)| it.change.health == Health::Gone);
        gone.map(|(addr, _)| *addr)
    }

    /// Removes the tombstones that were stored at `before` or earlier.
    pub fn forget_gone(&mut self, before: Timestamp) {
        self.entries.retain(|_, it| it.change.health != Health::Gone || it.since > before);
    }

    /// Digest of the members that are not gone.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// All entries of buckets that differ from `theirs`, in cyclic order beginning with `first`.
    /// Returns whole buckets with at most `max_changes` entries in total, but at least one bucket.
    pub fn differing_buckets(
        &self,
        theirs: &Digest,
        first: BucketId,
        max_changes: usize,
    ) -> GossipMessage {
        let differing = self.digest.differing(theirs, first);
        let sizes = self.bucket_sizes();
        let mut total = 0;
        let fits = |bucket: &BucketId| {
            let is_first = total == 0;
            total += sizes.get(bucket).copied().unwrap_or(0).max(1);
            is_first || total <= max_changes
        };
        let buckets: Vec<BucketId> = differing.iter().copied().take_while(fits).collect();
        let has_more = buckets.len() < differing.len();
        let changes = self.entries_in(&buckets);
        GossipMessage { purpose: GossipPurpose::Buckets { buckets, has_more }, changes }
    }

    /// Entries of the buckets that are newer than those in `theirs`, or missing there and not gone.
    pub fn newer_in(
        &self,
        buckets: &[BucketId],
        theirs: &BTreeMap<SocketAddr, Stamp>,
    ) -> Vec<Change> {
        let mut entries = self.entries_in(buckets);
        entries.retain(|ours| match theirs.get(&ours.addr()) {
            Some(theirs) => *theirs < ours.stamp(),
            None => ours.health != Health::Gone,
        });
        entries
    }

    /// All entries of the buckets, including tombstones.
    fn entries_in(&self, buckets: &[BucketId]) -> Vec<Change> {
        let changes = self.entries.values().map(|it| &it.change);
        changes.filter(|it| buckets.contains(&Digest::bucket(it.addr()))).cloned().collect()
    }

    /// Number of entries in each bucket, including tombstones.
    fn bucket_sizes(&self) -> BTreeMap<BucketId, usize> {
        let mut sizes = BTreeMap::new();
        for addr in self.entries.keys() {
            *sizes.entry(Digest::bucket(*addr)).or_default() += 1;
        }
        sizes
    }
}
