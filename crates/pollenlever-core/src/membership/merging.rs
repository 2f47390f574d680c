use super::membership::Actions;
use super::{Change, Health, Member, Membership, MembershipAction, MergeResult};
use crate::Timestamp;
use crate::id::NodeId;

/// Merges changes that other members made.
impl Membership {
    /// Merges changes. Returns the newer entries that this node has for outdated ones.
    pub(super) fn merge_all(
        &mut self,
        now: Timestamp,
        changes: Vec<Change>,
        from: Option<NodeId>,
        actions: &mut Actions,
    ) -> Vec<Change> {
        let merge = |change| self.merge(now, change, from, actions);
        changes.into_iter().filter_map(merge).collect()
    }

    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        change: Change,
        from: Option<NodeId>,
        actions: &mut Actions,
    ) -> Option<Change> {
        let addr = change.addr();
        if addr == self.me.node.addr {
            return self.refute(now, &change, actions);
        }
        if change.health == Health::Gone && self.table.get(addr).is_none() {
            return None; // this node has already dropped the tombstone
        }
        match self.table.merge(now, change.clone()) {
            MergeResult::Duplicate => None,
            MergeResult::Outdated(newer) => Some(newer),
            MergeResult::Applied(before) => {
                self.after_merge(now, before, change, actions);
                self.outbox.queue_for_all(addr, from, now + self.cfg.push_interval);
                None
            }
        }
    }

    /// Refutes changes to this node's own entry, including those left by an earlier process at its
    /// address, by raising its version above theirs.
    pub(super) fn refute(
        &mut self,
        now: Timestamp,
        change: &Change,
        actions: &mut Actions,
    ) -> Option<Change> {
        let mine = Change::alive(self.me.clone());
        if change.stamp() > mine.stamp() {
            let version = change.member.version + 1;
            self.replace_own_entry(now, Member { version, ..self.me.clone() }, actions);
            return Some(Change::alive(self.me.clone()));
        }
        (change.stamp() < mine.stamp()).then_some(mine)
    }

    pub(super) fn after_merge(
        &mut self,
        now: Timestamp,
        before: Option<Change>,
        change: Change,
        actions: &mut Actions,
    ) {
        let addr = change.addr();
        match change.health {
            Health::Suspect => self.detector.add_suspect(addr, now + self.cfg.suspicion_timeout),
            Health::Alive | Health::Gone => self.detector.remove_suspect(addr),
        }
        let live_before = before.filter(|it| it.health != Health::Gone).map(|it| it.member);
        let live_after = (change.health != Health::Gone).then_some(change.member);
        let node_before = live_before.as_ref().map(|it| it.node);
        let node_after = live_after.as_ref().map(|it| it.node);
        if node_before != node_after {
            self.is_overlay_current = false;
            actions.extend(node_before.map(MembershipAction::Removed));
        }
        if live_after != live_before {
            actions.extend(live_after.map(MembershipAction::Updated));
        }
    }
}
