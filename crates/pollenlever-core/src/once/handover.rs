use bincode::{Decode, Encode};

use crate::id::NodeId;

/// A part of the records of a home that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Handover {
    /// The home that leaves.
    pub home: NodeId,
    /// Number of this part, from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
}
