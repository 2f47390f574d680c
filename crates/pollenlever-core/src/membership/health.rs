use bincode::{Decode, Encode};

/// Health of a node as seen by the other members.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum Health {
    /// The node answers.
    #[default]
    Alive,
    /// The node does not answer health checks. It may still refute the suspicion.
    Suspect,
    /// The node has left or is considered failed, and is no longer a member. Its entry is kept for a
    /// while as a tombstone.
    Gone,
}
