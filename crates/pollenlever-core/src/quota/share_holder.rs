use std::time::Duration;

use super::home_link::CLOCK_MARGIN;
use super::shard_delegations::ShardDelegations;
use super::{
    DelegatedShard, QuotaSettings, ShardIndex, ShareDelegation, ShareDelegationReply, ShareTable,
    ShareUnits, TICKET_LIFETIME, TableRevision,
};
use crate::Timestamp;
use crate::id::{Incarnation, NodeId, NodeName};

/// Time for which a holder uses no more units than before, after the store has come back from an older
/// copy. Within it, all nodes that reach the store read its table.
const ERA_SETTLE_TIME: Duration = Duration::from_secs(15);

/// The units of this node and the homes to which they are delegated.
#[derive(Debug)]
pub struct ShareHolder {
    name: NodeName,
    incarnation: Incarnation,
    /// Time at which all delegations of earlier processes have ended.
    earlier_ended: Timestamp,
    settings: QuotaSettings,
    table: Option<SeenTable>,
    lowered: Option<Lowered>,
    /// Limit of the units after a change of the store's era, and when it ends.
    settling: Option<(Timestamp, ShareUnits)>,
    is_leaving: bool,
    sequence: u64,
    shards: Vec<ShardDelegations>,
}

/// The newest table that this process knows.
#[derive(Debug, Clone, Copy)]
struct SeenTable {
    revision: TableRevision,
    units: ShareUnits,
    read_at: Timestamp,
}

/// Limit of the units while a write that lowers them may take effect.
#[derive(Debug, Clone, Copy)]
struct Lowered {
    /// Revision on which the write is conditional.
    revision: TableRevision,
    units: ShareUnits,
}

impl ShareHolder {
    /// Creates the holder of the process that started at `started`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::id::NodeId;
    /// use pollenlever_core::quota::{QuotaSettings, ShareHolder, ShareTable};
    /// let me: NodeId = "127.0.0.1:7101@1f".parse().unwrap();
    /// let settings = QuotaSettings::default();
    /// let mut holder = ShareHolder::new("a".into(), me.incarnation, Duration::ZERO, settings);
    /// holder.on_table(Duration::from_secs(3), 1, &ShareTable::create(&["a".into()], 8));
    /// let messages = holder.due(Duration::from_secs(3), |_shard| me);
    /// assert_eq!(messages.len(), 1);
    /// assert_eq!(messages[0].1.shards.len(), 8);
    /// ```
    pub fn new(
        name: NodeName,
        incarnation: Incarnation,
        started: Timestamp,
        settings: QuotaSettings,
    ) -> ShareHolder {
        ShareHolder {
            name,
            incarnation,
            earlier_ended: started + TICKET_LIFETIME + CLOCK_MARGIN,
            settings,
            table: None,
            lowered: None,
            settling: None,
            is_leaving: false,
            sequence: 0,
            shards: Vec::new(),
        }
    }

    /// Takes over the units of this node from a table that was read, or written by this node, at
    /// `revision`. `now` is the start of the read. A table older than one seen before, or with
    /// another number of shards, is ignored.
    ///
    /// The first table of a process must not come from a stale read: it could lack the
    /// announcement of an earlier process that lowers the entry.
    pub fn on_table(&mut self, now: Timestamp, revision: TableRevision, table: &ShareTable) {
        let is_older = self.table.is_some_and(|it| revision < it.revision);
        let is_other = !self.shards.is_empty() && self.shards.len() != table.shards as usize;
        if is_older || is_other || !table.is_valid() {
            return;
        }
        self.shards.resize_with(table.shards as usize, ShardDelegations::default);
        let units = table.usable_units(&self.name, self.incarnation);
        let read_at = self.table.map_or(now, |it| it.read_at.max(now));
        self.table = Some(SeenTable { revision, units, read_at });
        self.lowered = self.lowered.filter(|it| revision <= it.revision);
    }

    /// Uses at most `units` until a table newer than `revision` has been read. To be called before a
    /// write that lowers this node's entry to `units` on the condition that the table is still at
    /// `revision`. A write whose outcome is unknown must be repeated with the same condition, or
    /// the table read at a newer revision, before the units can be used again.
    pub fn lower_to(&mut self, revision: TableRevision, units: ShareUnits) {
        let earlier = self.lowered.map_or(ShareUnits::MAX, |it| it.units);
        let revision = self.lowered.map_or(revision, |it| it.revision.max(revision));
        self.lowered = Some(Lowered { revision, units: units.min(earlier) });
    }

    /// Uses at most `units` for 15 s. To be called before the first table of a later era of the store is
    /// taken over: it may give this node units back that it has passed on since, and whose holders have
    /// not read it yet. `units` is the smaller one of those before and in that table.
    pub fn enter_era(&mut self, now: Timestamp, units: ShareUnits) {
        let units = units.min(self.units(now));
        self.settling = Some((now + ERA_SETTLE_TIME, units));
    }

    /// Whether the limit of [`ShareHolder::enter_era`] holds. No units may be given to others then.
    pub fn is_settling(&self, now: Timestamp) -> bool {
        self.settling.is_some_and(|it| now < it.0)
    }

    /// Whether at most `units` are delegated or in use, so that the table may be written.
    pub fn is_lowered_to(&self, now: Timestamp, units: ShareUnits) -> bool {
        now >= self.earlier_ended
            && self.units(now) <= units
            && self.shards.iter().all(|it| it.units_in_force(now) <= units)
    }

    /// Delegations that are due, by home; `home_of` gives the home of a shard as this node sees it.
    /// To be called every 50 ms, and after each reply and change of members or units.
    pub fn due(
        &mut self,
        now: Timestamp,
        home_of: impl Fn(ShardIndex) -> NodeId,
    ) -> Vec<(NodeId, ShareDelegation)> {
        let has_units = self.units(now) > 0;
        for (shard, delegations) in (0..).zip(&mut self.shards) {
            let home = has_units.then(|| home_of(shard));
            delegations.set_home(now, home, self.sequence + 1);
        }
        self.due_messages(now)
    }

    /// Handles the reply of `home`.
    pub fn on_reply(&mut self, now: Timestamp, home: NodeId, reply: &ShareDelegationReply) {
        for (shard, ticket) in &reply.tickets {
            if let Some(delegations) = self.shards.get_mut(*shard as usize) {
                delegations.on_reply(now, home, reply.sequence, *ticket);
            }
        }
    }

    /// Ends all delegations because the node leaves, and returns the messages to send.
    /// [`ShareHolder::due`] sends them again until they are confirmed.
    pub fn withdraw(&mut self, now: Timestamp) -> Vec<(NodeId, ShareDelegation)> {
        self.is_leaving = true;
        for delegations in &mut self.shards {
            delegations.set_home(now, None, self.sequence + 1);
        }
        self.due_messages(now)
    }

    /// Whether no unit is delegated or in use any more after [`ShareHolder::withdraw`].
    pub fn is_withdrawn(&self, now: Timestamp) -> bool {
        self.is_lowered_to(now, 0)
    }

    /// Units that this node may delegate now, apart from the wait at the start of the process.
    pub fn units(&self, now: Timestamp) -> ShareUnits {
        let Some(table) = self.table.filter(|_| !self.is_leaving) else { return 0 };
        if now >= table.read_at + self.settings.table_lifetime {
            return 0;
        }
        let settling = self.settling.filter(|it| now < it.0).map(|it| it.1);
        let lowered = self.lowered.map(|it| it.units);
        [settling, lowered].into_iter().flatten().fold(table.units, ShareUnits::min)
    }

    fn due_messages(&mut self, now: Timestamp) -> Vec<(NodeId, ShareDelegation)> {
        let units = if now >= self.earlier_ended { self.units(now) } else { 0 };
        let mut homes: Vec<NodeId> = Vec::new();
        for delegations in &self.shards {
            homes.extend(delegations.due_homes(now, units, &self.settings));
        }
        homes.sort_unstable();
        homes.dedup();
        homes.into_iter().map(|home| (home, self.message_to(now, home, units))).collect()
    }

    /// One message with all shards that are delegated to `home`.
    fn message_to(&mut self, now: Timestamp, home: NodeId, units: ShareUnits) -> ShareDelegation {
        self.sequence += 1;
        let mut shards = Vec::new();
        for (shard, delegations) in (0..).zip(&mut self.shards) {
            let sent = delegations.record_sent(now, home, self.sequence, units);
            shards.extend(sent.map(|(units, ticket)| DelegatedShard { shard, units, ticket }));
        }
        ShareDelegation {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            shard_count: self.shards.len() as u32,
            shards,
        }
    }
}
