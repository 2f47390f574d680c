use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::id::{NodeId, ServiceName};
use crate::membership::{Member, TargetState};

/// Change to a table of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The member is new or has a newer entry.
    Up(Member),
    /// The process is gone or was replaced by a later one.
    Gone(NodeId),
}

/// The other nodes by address. A process with a higher incarnation replaces an earlier one at the
/// same address.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
}

impl MemberTable {
    /// Merges a member entry and returns the resulting changes; none if the entry is not newer.
    pub fn upsert(&mut self, member: Member) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        if let Some(known) = self.members.get(&member.node.addr) {
            let order = |it: &Member| (it.node.incarnation, it.version);
            if order(&member) <= order(known) {
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

    /// Removes the process `node`. Returns `None` if it is not the known process at its address.
    pub fn remove(&mut self, node: NodeId) -> Option<MemberChange> {
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

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members whose targets take requests of a service.
    pub fn serving<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        let serves = |it: &&Member| matches!(it.state, TargetState::Ready | TargetState::Cold);
        self.iter().filter(|it| it.service.as_ref() == Some(service)).filter(serves)
    }
}
