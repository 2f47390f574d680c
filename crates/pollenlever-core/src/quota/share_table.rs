use std::collections::BTreeMap;

use super::ShareUnits;
use crate::id::{Incarnation, NodeName};

/// Units of each node, as one object in the store that is changed only by conditional writes.
///
/// Lowering an entry takes two writes: the first announces which process is about to lower it, the
/// second lowers it. [`ShareTable::give`], [`ShareTable::hand_back`] and [`ShareTable::reclaim`]
/// return the next of the two. A new process of the node therefore sees whether an earlier one may
/// have a write under way that takes effect later, and confirms the entry before it uses the units.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShareTable {
    /// Number of shards of the workspaces; never changes after the creation.
    pub shards: u32,
    /// Units by holder.
    pub holders: BTreeMap<NodeName, ShareUnits>,
    /// Entries that are about to be lowered, with the process that announced it. No other process
    /// may use their units.
    pub lowering: BTreeMap<NodeName, Incarnation>,
}

impl ShareTable {
    /// The first table: all units, split equally among at most [`super::MAX_HOLDERS`] of `live`.
    pub fn create(live: &[NodeName], shards: u32) -> ShareTable {
        let _ = live;
        ShareTable { shards, ..ShareTable::default() }
    }

    /// Whether the number of shards is within bounds and the sum of the units at most the total.
    pub fn is_valid(&self) -> bool {
        false
    }

    /// Units in the entry of `name`.
    pub fn units_of(&self, name: &NodeName) -> ShareUnits {
        self.holders.get(name).copied().unwrap_or(0)
    }

    /// Units that the process `incarnation` of `name` may use.
    pub fn usable_units(&self, name: &NodeName, incarnation: Incarnation) -> ShareUnits {
        let _ = incarnation;
        self.units_of(name)
    }

    /// The table after the process `incarnation` of `name` has taken its entry back from another
    /// process that announced to lower it; `None` if there is no such announcement.
    pub fn confirm(&self, name: &NodeName, incarnation: Incarnation) -> Option<ShareTable> {
        let _ = (name, incarnation);
        None
    }

    /// The next table to write for `giver` to give part of its units to `live` nodes; `None` if it
    /// should give none.
    pub fn give(
        &self,
        giver: &NodeName,
        incarnation: Incarnation,
        live: &[NodeName],
    ) -> Option<ShareTable> {
        let _ = (giver, incarnation, live);
        None
    }

    /// The next table to write for `leaver` to give all its units back; `None` if it has none or
    /// no node stays.
    pub fn hand_back(
        &self,
        leaver: &NodeName,
        incarnation: Incarnation,
        live: &[NodeName],
    ) -> Option<ShareTable> {
        let _ = (leaver, incarnation, live);
        None
    }
    /// The next table to write for `taker` to take the units of `gone`; see
    /// [`super::ReclaimTimer`] for when.
    pub fn reclaim(
        &self,
        taker: &NodeName,
        incarnation: Incarnation,
        gone: &NodeName,
    ) -> Option<ShareTable> {
        let _ = (taker, incarnation, gone);
        None
    }
}
