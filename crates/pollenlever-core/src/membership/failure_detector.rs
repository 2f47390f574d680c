use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::id::NodeId;

/// Timeouts of indirect probes and of suspicions.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    /// Peers that did not answer this node and are probed by other members, with the time at which
    /// the indirect probes time out.
    indirect_probe_timeouts: BTreeMap<NodeId, Timestamp>,
    /// Suspect members, with the time at which they are considered gone.
    suspicion_timeouts: BTreeMap<SocketAddr, Timestamp>,
}

impl FailureDetector {
    /// Starts the timeout of indirect probes of a peer. Returns `false` if it is running already.
    pub(super) fn start_indirect_probe(&mut self, node: NodeId, until: Timestamp) -> bool {
        let is_new = !self.indirect_probe_timeouts.contains_key(&node);
        self.indirect_probe_timeouts.entry(node).or_insert(until);
        is_new
    }

    /// Cancels the timeout of indirect probes: the peer answered this node or another member.
    pub(super) fn cancel_indirect_probe(&mut self, node: NodeId) {
        self.indirect_probe_timeouts.remove(&node);
    }

    /// Starts the timeout of a member that became suspect.
    pub(super) fn add_suspect(&mut self, addr: SocketAddr, until: Timestamp) {
        self.suspicion_timeouts.insert(addr, until);
    }

    /// Cancels the timeout of a member that is no longer suspect.
    pub(super) fn remove_suspect(&mut self, addr: SocketAddr) {
        self.suspicion_timeouts.remove(&addr);
    }

    /// Removes and returns the peers whose indirect probes timed out.
    pub(super) fn take_timed_out_probes(&mut self, now: Timestamp) -> Vec<NodeId> {
        let timed_out: Vec<NodeId> = self
            .indirect_probe_timeouts
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(node, _)| *node)
            .collect();
        for node in &timed_out {
            self.indirect_probe_timeouts.remove(node);
        }
        timed_out
    }

    /// Removes and returns the suspect members that did not refute the suspicion in time.
    pub(super) fn take_timed_out_suspicions(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let timed_out: Vec<SocketAddr> = self
            .suspicion_timeouts
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(addr, _)| *addr)
            .collect();
        for addr in &timed_out {
            self.suspicion_timeouts.remove(addr);
        }
        timed_out
    }

    /// Cancels indirect probes and restarts all suspicion timeouts after a pause of this node,
    /// because replies missed during the pause do not mean that the others have failed.
    pub(super) fn reset_after_pause(&mut self, now: Timestamp, suspicion_timeout: Duration) {
        self.indirect_probe_timeouts.clear();
        for until in self.suspicion_timeouts.values_mut() {
            *until = now + suspicion_timeout;
        }
    }

    /// Time of the next timeout; `None` if there is none.
    pub(super) fn wakeup(&self) -> Option<Timestamp> {
        self.indirect_probe_timeouts.values().chain(self.suspicion_timeouts.values()).min().copied()
    }
}
