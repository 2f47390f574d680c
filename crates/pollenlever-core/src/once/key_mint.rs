use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Timestamp;
use crate::id::{ChainId, ContentDigest, NodeId, RequestKey};

/// Generates and verifies the request keys of one home.
#[derive(Debug)]
pub(crate) struct KeyMint {
    me: NodeId,
    secret: u64,
    next_seq: u64,
}

impl KeyMint {
    pub(crate) fn new(me: NodeId, secret: u64) -> KeyMint {
        KeyMint { me, secret, next_seq: 0 }
    }

    /// Home of the generated keys.
    pub(crate) fn home(&self) -> NodeId {
        self.me
    }

    /// Seed of the hash that tags keys, so that forged keys are detected.
    pub(crate) fn secret(&self) -> u64 {
        self.secret
    }

    /// Generates a new key; sequence numbers are never reused.
    pub(crate) fn mint(&mut self, now: Timestamp) -> RequestKey {
        self.next_seq += 1;
        let minted_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let tag = self.tag(minted_ms, self.next_seq);
        RequestKey { home: self.me, minted_ms, seq: self.next_seq, tag }
    }

    /// Whether the key belongs to this home and carries a valid tag.
    pub(crate) fn is_own(&self, key: RequestKey) -> bool {
        key.home == self.me && key.tag == self.tag(key.minted_ms, key.seq)
    }

    fn tag(&self, minted_ms: u64, seq: u64) -> u64 {
        let mut buf = [0; 24];
        buf[..8].copy_from_slice(&self.me.incarnation.to_le_bytes());
        buf[8..16].copy_from_slice(&minted_ms.to_le_bytes());
        buf[16..].copy_from_slice(&seq.to_le_bytes());
        xxh3_64_with_seed(&buf, self.secret)
    }

    /// Derives the key of a nested call from its chain and content. The key's home is the chain's
    /// origin, so every attempt of the parent request derives the same key.
    pub(crate) fn derive(chain: ChainId, digest: ContentDigest) -> RequestKey {
        let tag = xxh3_64_with_seed(&digest.to_le_bytes(), chain.seq);
        RequestKey { home: chain.origin, minted_ms: 0, seq: chain.seq, tag }
    }
}
