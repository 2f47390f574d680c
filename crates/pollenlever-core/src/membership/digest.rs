use std::net::SocketAddr;

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use super::{Change, Health, Stamp};

/// Number of a bucket of addresses.
pub type BucketId = u16;

/// Buckets of a digest.
const BUCKETS: usize = 256;

/// Hashes of a member table by buckets of addresses. Equal tables have equal digests; members that
/// are gone are left out, as each node forgets them at its own time.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    hashes: Vec<u64>,
}

impl Digest {
    /// Bucket of an address.
    pub fn bucket(addr: SocketAddr) -> BucketId {
        (hash_addr(addr, 0) % BUCKETS as u64) as BucketId
    }

    /// Adds an entry, or removes it if it was added before.
    pub fn toggle(&mut self, change: &Change) {
        if change.health != Health::Gone {
            let bucket = usize::from(Digest::bucket(change.addr()));
            self.hashes[bucket] ^= hash_entry(change.addr(), change.stamp());
        }
    }

    /// Buckets that differ, in order from `first` on and around.
    pub fn differing(&self, other: &Digest, first: BucketId) -> Vec<BucketId> {
        let start = usize::from(first);
        let order = (0..BUCKETS).map(|offset| (start + offset) % BUCKETS);
        let differs = |bucket: &usize| self.hashes.get(*bucket) != other.hashes.get(*bucket);
        order.filter(differs).map(|bucket| bucket as BucketId).collect()
    }
}

impl Default for Digest {
    fn default() -> Digest {
        Digest { hashes: vec![0; BUCKETS] }
    }
}

/// Hash of an address under `seed`.
pub(super) fn hash_addr(addr: SocketAddr, seed: u64) -> u64 {
    let mut hasher = Xxh3::with_seed(seed);
    update_addr(&mut hasher, addr);
    hasher.digest()
}

fn hash_entry(addr: SocketAddr, stamp: Stamp) -> u64 {
    let mut hasher = Xxh3::new();
    update_addr(&mut hasher, addr);
    hasher.update(&stamp.version.to_le_bytes());
    hasher.update(&stamp.incarnation.to_le_bytes());
    hasher.update(&[stamp.health as u8]);
    hasher.digest()
}

fn update_addr(hasher: &mut Xxh3, addr: SocketAddr) {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&addr.port().to_le_bytes());
}
