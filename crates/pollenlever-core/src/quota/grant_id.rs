use bincode::{Decode, Encode};

use crate::id::Incarnation;

/// Identifies the grant of a home from which tokens come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct GrantId {
    /// Incarnation of the home.
    pub home: Incarnation,
    /// Number of the grant among those of this home.
    pub number: u64,
}
