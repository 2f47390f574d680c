use bincode::{Decode, Encode};

/// What the members believe about a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum Health {
    /// The node answers.
    #[default]
    Alive,
    /// The node does not answer; it may refute this.
    Suspect,
    /// The node is taken off.
    Gone,
}
