use bincode::{Decode, Encode};

use crate::id::ContentDigest;

/// Crashes of targets that are counted against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Suspicion {
    /// Hash of customer, method, path and body.
    pub digest: ContentDigest,
    /// Crashes counted.
    pub crashes: u32,
}
