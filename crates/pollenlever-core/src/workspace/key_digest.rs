use std::fmt;

use bincode::{Decode, Encode};
use sha2::{Digest, Sha256};

/// SHA-256 digest of an API key. Nodes keep and exchange digests only, so a key appears in no message
/// between them, and comparing digests does not reveal by its duration how much of a key is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of `key`.
    ///
    /// ```
    /// use pollenlever_core::workspace::KeyDigest;
    /// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
    /// assert_ne!(KeyDigest::of("k1"), KeyDigest::of("k2"));
    /// ```
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Leaves the digest out: short keys could be found by trying them.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
