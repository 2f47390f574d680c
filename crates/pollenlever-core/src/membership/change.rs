use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::{Health, Member};
use crate::id::Incarnation;

/// Order of changes to one entry: the greatest one stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    /// Version that the node gave its entry.
    pub version: u64,
    /// Settles which process stands when two at one address drew the same version.
    pub incarnation: Incarnation,
    /// What others add to that version.
    pub health: Health,
}

/// News about one member.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// use pollenlever_core::membership::{Change, Health, Member};
/// let node: NodeId = "127.0.0.1:7101@1f".parse().unwrap();
/// let alive = Change::alive(Member { version: 4, ..Member::new(node) });
/// let gone = Change { health: Health::Gone, ..alive.clone() };
/// let back = Change::alive(Member { version: 5, ..Member::new(node) });
/// assert!(gone.stamp() > alive.stamp() && back.stamp() > gone.stamp());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Change {
    /// The member as it last described itself.
    pub member: Member,
    /// What the members believe about it.
    pub health: Health,
}

impl Change {
    /// The member describes itself.
    pub fn alive(member: Member) -> Change {
        Change { member, health: Health::Alive }
    }

    /// Address that the entry belongs to, whichever process serves there.
    pub fn addr(&self) -> SocketAddr {
        self.member.node.addr
    }

    /// Place of this change in the order of changes to its entry.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.member.version,
            incarnation: self.member.node.incarnation,
            health: self.health,
        }
    }
}
