use super::{
    QuotaSettings, ShardIndex, ShareDelegation, ShareDelegationReply, ShareTable, ShareUnits,
    TableRevision,
};
use crate::Timestamp;
use crate::id::{Incarnation, NodeId, NodeName};

/// The units of this node and the homes to which they are delegated.
#[derive(Debug)]
pub struct ShareHolder {
    name: NodeName,
    incarnation: Incarnation,
    started: Timestamp,
    settings: QuotaSettings,
}

impl ShareHolder {
    /// Creates the holder of the process that started at `started`.
    pub fn new(
        name: NodeName,
        incarnation: Incarnation,
        started: Timestamp,
        settings: QuotaSettings,
    ) -> ShareHolder {
        ShareHolder { name, incarnation, started, settings }
    }

    /// Takes over the units of this node from a table that was read, or written by this node, at
    /// `revision`. A table older than one seen before is ignored. `now` is the start of the call.
    pub fn on_table(&mut self, now: Timestamp, revision: TableRevision, table: &ShareTable) {
        let _ = (now, revision, table, &self.name, self.incarnation, self.started, self.settings);
    }

    /// Uses at most `units` until a table newer than `revision` has been read. To be called before a
    /// write that lowers this node's entry to `units` on the condition that the table is still at
    /// `revision`.
    pub fn lower_to(&mut self, revision: TableRevision, units: ShareUnits) {
        let _ = (revision, units);
    }

    /// Whether at most `units` are delegated or in use, so that the table may be written.
    pub fn is_lowered_to(&self, now: Timestamp, units: ShareUnits) -> bool {
        let _ = (now, units);
        false
    }

    /// Delegations that are due, by home; `home_of` gives the home of a shard as this node sees it.
    /// To be called every 50 ms, and after each reply and change of members or units.
    pub fn due(
        &mut self,
        now: Timestamp,
        home_of: impl Fn(ShardIndex) -> NodeId,
    ) -> Vec<(NodeId, ShareDelegation)> {
        let _ = (now, home_of(0));
        Vec::new()
    }

    /// Handles the reply of `home`.
    pub fn on_reply(&mut self, now: Timestamp, home: NodeId, reply: &ShareDelegationReply) {
        let _ = (now, home, reply);
    }

    /// Ends all delegations because the node leaves, and returns the messages to send.
    /// [`ShareHolder::due`] sends them again until they are confirmed.
    pub fn withdraw(&mut self, now: Timestamp) -> Vec<(NodeId, ShareDelegation)> {
        let _ = now;
        Vec::new()
    }

    /// Whether no unit is delegated or in use any more after [`ShareHolder::withdraw`].
    pub fn is_withdrawn(&self, now: Timestamp) -> bool {
        self.is_lowered_to(now, 0)
    }

    /// Units that this node may delegate now.
    pub fn units(&self, now: Timestamp) -> ShareUnits {
        let _ = now;
        0
    }
}
