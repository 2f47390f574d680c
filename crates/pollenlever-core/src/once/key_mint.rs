use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Timestamp;
use crate::id::{ChainId, ContentDigest, NodeId, RequestKey};

/// Mints the request keys whose home is this node.
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

    /// The home of the keys.
    pub(crate) fn home(&self) -> NodeId {
        self.me
    }

    /// The secret by which keys are known.
    pub(crate) fn secret(&self) -> u64 {
        self.secret
    }

    /// A key that was never minted before.
    pub(crate) fn mint(&mut self, now: Timestamp) -> RequestKey {
        self.next_seq += 1;
        let minted_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let tag = self.tag(minted_ms, self.next_seq);
        RequestKey { home: self.me, minted_ms, seq: self.next_seq, tag }
    }

    /// Whether this node minted the key.
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

    /// Derives the key of a call made inside a chain. Its home is the chain's origin, so that it
    /// is the same whichever attempt of its parent makes the call.
    pub(crate) fn derive(chain: ChainId, digest: ContentDigest) -> RequestKey {
        let tag = xxh3_64_with_seed(&digest.to_le_bytes(), chain.seq);
        RequestKey { home: chain.origin, minted_ms: 0, seq: chain.seq, tag }
    }
}
