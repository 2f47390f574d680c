use std::net::{IpAddr, SocketAddr};

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Change, Health, Stamp};

/// Index of a bucket of addresses in a digest.
pub type BucketId = u16;

/// Number of buckets in a digest.
const BUCKETS: usize = 256;
/// Bytes of an IPv6 address and a port.
const ADDR_BYTES: usize = 18;

/// One hash per bucket of addresses of a member table. Equal tables have equal digests. Members
/// that are gone are left out, because each node forgets them at a different time.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    hashes: Vec<u64>,
}

impl Digest {
    /// Bucket to which an address belongs.
    pub fn bucket(addr: SocketAddr) -> BucketId {
        (address_hash(addr, 0) % BUCKETS as u64) as BucketId
    }

    /// Adds an entry, or removes it if it was added before (its hash is XORed in).
    pub fn toggle(&mut self, change: &Change) {
        if change.health != Health::Gone {
            let bucket = usize::from(Digest::bucket(change.addr()));
            self.hashes[bucket] ^= hash_entry(change.addr(), change.stamp());
        }
    }

    /// Buckets whose hashes differ, in cyclic order beginning with `first`.
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

/// Hash of an address with a seed.
///
/// ```
/// use pollenlever_core::membership::address_hash;
/// let addr = "127.0.0.1:7101".parse().unwrap();
/// assert_ne!(address_hash(addr, 1), address_hash(addr, 2));
/// ```
pub fn address_hash(addr: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(&addr_bytes(addr), seed)
}

fn hash_entry(addr: SocketAddr, stamp: Stamp) -> u64 {
    let mut buf = [0; ADDR_BYTES + 17];
    buf[..ADDR_BYTES].copy_from_slice(&addr_bytes(addr));
    buf[ADDR_BYTES..ADDR_BYTES + 8].copy_from_slice(&stamp.version.to_le_bytes());
    buf[ADDR_BYTES + 8..ADDR_BYTES + 16].copy_from_slice(&stamp.incarnation.to_le_bytes());
    buf[ADDR_BYTES + 16] = stamp.health as u8;
    xxh3_64_with_seed(&buf, 0)
}

fn addr_bytes(addr: SocketAddr) -> [u8; ADDR_BYTES] {
    let ip = match addr.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut buf = [0; ADDR_BYTES];
    buf[..16].copy_from_slice(&ip.octets());
    buf[16..].copy_from_slice(&addr.port().to_le_bytes());
    buf
}
