use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3Default;

use crate::id::ChainId;

/// Stable hash of a chain, the same on every node; gates prefer chains with higher hashes.
///
/// ```
/// use pollenlever_core::admission::chain_hash;
/// let a = "127.0.0.1:7101@1f~2a".parse().unwrap();
/// let b = "127.0.0.1:7101@1f~2b".parse().unwrap();
/// assert_eq!(chain_hash(a), chain_hash(a));
/// assert_ne!(chain_hash(a), chain_hash(b));
/// ```
pub fn chain_hash(chain: ChainId) -> u64 {
    let mut hasher = Xxh3Default::new();
    match chain.origin.addr.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&chain.origin.addr.port().to_le_bytes());
    hasher.update(&chain.origin.incarnation.to_le_bytes());
    hasher.update(&chain.seq.to_le_bytes());
    hasher.digest()
}

/// The hash of a chain as a share between 0 and 1, to spread retries.
///
/// ```
/// use pollenlever_core::admission::chain_share;
/// let share = chain_share("127.0.0.1:7101@1f~2a".parse().unwrap());
/// assert!((0.0..1.0).contains(&share));
/// ```
pub fn chain_share(chain: ChainId) -> f64 {
    const HALF: f64 = (1u64 << 32) as f64;
    f64::from(chain_hash(chain) as u32) / HALF
}
