use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::id::{NodeId, ServiceName};
use crate::membership::{Member, TargetState};

/// What changed in a table of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The member is new or says something new about itself.
    Up(Member),
    /// The process is gone or was replaced.
    Gone(NodeId),
}

/// The other nodes, by address. A later process at an address replaces the earlier one.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
}

impl MemberTable {
    /// Takes what a node says about itself, unless something newer is known.
    pub fn up(&mut self, member: Member) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        if let Some(known) = self.members.get(&member.node.addr) {
            let age = |it: &Member| (it.node.incarnation, it.version);
            if age(&member) <= age(known) {
                return changes;
            }
            if known.node != member.node {
                changes.push(MemberChange::Gone(known.node));
            }
        }
        changes.push(MemberChange::Up(member.clone()));
        self.members.insert(member.node.addr, member);
        changes
    }

    /// Takes the news that the process `node` is gone.
    pub fn gone(&mut self, node: NodeId) -> Option<MemberChange> {
        let is_known = self.members.get(&node.addr).is_some_and(|it| it.node == node);
        if !is_known {
            return None;
        }
        self.members.remove(&node.addr);
        Some(MemberChange::Gone(node))
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members whose targets take work of a service.
    pub fn serving<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        let serves = |it: &&Member| matches!(it.state, TargetState::Ready | TargetState::Cold);
        self.iter().filter(|it| it.service.as_ref() == Some(service)).filter(serves)
    }
}
