use bincode::{Decode, Encode};

use crate::id::ContentDigest;

/// Number of target crashes that happened while a request with this content was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Suspicion {
    /// Hash of workspace, method, path and body.
    pub digest: ContentDigest,
    /// Number of crashes.
    pub crashes: u32,
}
