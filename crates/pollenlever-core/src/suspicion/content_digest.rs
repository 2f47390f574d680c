use xxhash_rust::xxh3::Xxh3;

use crate::id::ContentDigest;

/// Hash of the parts of a request, each with its length.
pub(crate) fn content_digest<const N: usize>(parts: [&[u8]; N]) -> ContentDigest {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
