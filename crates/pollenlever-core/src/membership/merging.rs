use super::membership::Actions;
use super::{Change, Health, Member, Membership, MembershipAction, Merged};
use crate::Timestamp;
use crate::id::NodeId;

/// Changes that others made.
impl Membership {
    /// Merges changes and returns the later ones that this node holds instead.
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
            return self.merge_own(now, &change, actions);
        }
        if change.health == Health::Gone && self.table.get(addr).is_none() {
            return None; // it was forgotten here
        }
        match self.table.merge(now, change.clone()) {
            Merged::Known => None,
            Merged::Older(newer) => Some(newer),
            Merged::Stands(before) => {
                self.after_merge(now, before, change, actions);
                self.outbox.spread(addr, from, now + self.cfg.push_interval);
                None
            }
        }
    }

    /// Refutes what others say about this node, or about an earlier process at its address.
    pub(super) fn merge_own(
        &mut self,
        now: Timestamp,
        change: &Change,
        actions: &mut Actions,
    ) -> Option<Change> {
        let mine = Change::alive(self.me.clone());
        if change.stamp() > mine.stamp() {
            let version = change.member.version + 1;
            self.set_me(now, Member { version, ..self.me.clone() }, actions);
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
            Health::Suspect => self.detector.suspect(addr, now + self.cfg.suspicion_timeout),
            Health::Alive | Health::Gone => self.detector.clear_suspect(addr),
        }
        let was_live = before.filter(|it| it.health != Health::Gone).map(|it| it.member);
        let is_live = (change.health != Health::Gone).then_some(change.member);
        let was_node = was_live.as_ref().map(|it| it.node);
        let is_node = is_live.as_ref().map(|it| it.node);
        if was_node != is_node {
            self.is_overlay_current = false;
            actions.extend(was_node.map(MembershipAction::Gone));
        }
        if is_live != was_live {
            actions.extend(is_live.map(MembershipAction::Up));
        }
    }
}
