use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::id::NodeId;

/// Timers of peers that did not answer this node and of members that are suspect.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    /// Peers that did not answer; others are probing them until the time given.
    doubts: BTreeMap<NodeId, Timestamp>,
    /// Suspect members and the time at which they are gone.
    suspects: BTreeMap<SocketAddr, Timestamp>,
}

impl FailureDetector {
    /// Starts to doubt a peer. Returns whether it was not in doubt before.
    pub(super) fn doubt(&mut self, node: NodeId, until: Timestamp) -> bool {
        let is_new = !self.doubts.contains_key(&node);
        self.doubts.entry(node).or_insert(until);
        is_new
    }

    /// The peer answered this node or another one.
    pub(super) fn clear_doubt(&mut self, node: NodeId) {
        self.doubts.remove(&node);
    }

    /// A member became suspect.
    pub(super) fn suspect(&mut self, addr: SocketAddr, until: Timestamp) {
        self.suspects.insert(addr, until);
    }

    /// A member is not suspect any more.
    pub(super) fn clear_suspect(&mut self, addr: SocketAddr) {
        self.suspects.remove(&addr);
    }

    /// Takes peers that no other member reached in time.
    pub(super) fn take_unreached(&mut self, now: Timestamp) -> Vec<NodeId> {
        let due: Vec<NodeId> =
            self.doubts.iter().filter(|(_, at)| **at <= now).map(|(node, _)| *node).collect();
        for node in &due {
            self.doubts.remove(node);
        }
        due
    }

    /// Takes suspect members that did not refute in time.
    pub(super) fn take_unrefuted(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let due: Vec<SocketAddr> =
            self.suspects.iter().filter(|(_, at)| **at <= now).map(|(addr, _)| *addr).collect();
        for addr in &due {
            self.suspects.remove(addr);
        }
        due
    }

    /// This node was paused: what it missed says nothing about the others.
    pub(super) fn restart(&mut self, now: Timestamp, suspicion_timeout: Duration) {
        self.doubts.clear();
        for until in self.suspects.values_mut() {
            *until = now + suspicion_timeout;
        }
    }

    /// Time of the next timer.
    pub(super) fn wakeup(&self) -> Option<Timestamp> {
        self.doubts.values().chain(self.suspects.values()).min().copied()
    }
}
