use xxhash_rust::xxh3::Xxh3;

use crate::id::ContentDigest;

/// Hash of the parts of a request. Each part is hashed with its length, so that moving bytes from
/// one part to the next changes the digest.
pub(crate) fn content_digest<const N: usize>(parts: [&[u8]; N]) -> ContentDigest {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
