use std::net::SocketAddr;

use bincode::{Decode, Encode};

use super::{Health, Member};
use crate::id::Incarnation;

/// Order of the changes to one entry: the change with the greatest stamp wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    /// Version that the node gave its entry.
    pub version: u64,
    /// Breaks the tie between two processes at the same address that chose the same version. An
    /// incarnation identifies one process of a node.
    pub incarnation: Incarnation,
    /// Health that other members report for that version.
    pub health: Health,
}

/// Change to the entry of one member.
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
    /// The member's entry, as it last described itself.
    pub member: Member,
    /// The member's health as seen by the other members.
    pub health: Health,
}

impl Change {
    /// A change by which a member describes itself.
    pub fn alive(member: Member) -> Change {
        Change { member, health: Health::Alive }
    }

    /// Address of the entry. It is the same for all processes that run there one after another.
    pub fn addr(&self) -> SocketAddr {
        self.member.node.addr
    }

    /// Position of this change in the order of changes to its entry.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.member.version,
            incarnation: self.member.node.incarnation,
            health: self.health,
        }
    }
}
