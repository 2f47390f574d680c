use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3Default;

use crate::id::ChainId;

/// Stable hash of a chain, the same on every node; overloaded gates run chains with higher hashes
/// first, so that all gates prefer the same chains.
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

/// Whether a chain is among the `share` of all chains that overloaded gates prefer, from 0 to 1.
///
/// ```
/// use pollenlever_core::admission::is_chain_admitted;
/// let chain = "127.0.0.1:7101@1f~2a".parse().unwrap();
/// assert!(is_chain_admitted(chain, 1.0));
/// assert!(!is_chain_admitted(chain, 0.0));
/// ```
pub fn is_chain_admitted(chain: ChainId, share: f64) -> bool {
    const U64_RANGE: f64 = u64::MAX as f64;
    chain_hash(chain) as f64 / U64_RANGE > 1.0 - share
}

/// Maps the hash of a chain to a number from 0 up to but not including 1, to spread retries in
/// time.
///
/// ```
/// use pollenlever_core::admission::chain_fraction;
/// let fraction = chain_fraction("127.0.0.1:7101@1f~2a".parse().unwrap());
/// assert!((0.0..1.0).contains(&fraction));
/// ```
pub fn chain_fraction(chain: ChainId) -> f64 {
    const U32_RANGE: f64 = (1u64 << 32) as f64;
    f64::from(chain_hash(chain) as u32) / U32_RANGE
}
