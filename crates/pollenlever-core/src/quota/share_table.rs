use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::{MAX_HOLDERS, ShareUnits, TOTAL_UNITS};
use crate::id::{Incarnation, NodeName};

/// Maximum number of shards.
const MAX_SHARDS: u32 = 256;
/// A live node gets more units if it has less than the mean divided by this.
const FAR_BELOW_MEAN: u64 = 4;

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
    /// The first table: all units, split equally among at most [`MAX_HOLDERS`] of `live`.
    ///
    /// ```
    /// use pollenlever_core::quota::{ShareTable, TOTAL_UNITS};
    /// let table = ShareTable::create(&["a".into(), "b".into()], 8);
    /// assert_eq!(table.units_of(&"b".into()), TOTAL_UNITS / 2);
    /// ```
    pub fn create(live: &[NodeName], shards: u32) -> ShareTable {
        let mut table = ShareTable { shards, ..ShareTable::default() };
        table.add_equally(&chosen_holders(live), TOTAL_UNITS);
        table
    }

    /// Whether the number of shards is within bounds and the sum of the units at most the total.
    ///
    /// ```
    /// use pollenlever_core::quota::ShareTable;
    /// assert!(ShareTable::create(&["a".into()], 8).is_valid());
    /// assert!(!ShareTable::create(&["a".into()], 0).is_valid());
    /// ```
    pub fn is_valid(&self) -> bool {
        let sum: u64 = self.holders.values().map(|it| u64::from(*it)).sum();
        (1..=MAX_SHARDS).contains(&self.shards) && sum <= u64::from(TOTAL_UNITS)
    }

    /// Units in the entry of `name`.
    pub fn units_of(&self, name: &NodeName) -> ShareUnits {
        self.holders.get(name).copied().unwrap_or(0)
    }

    /// Units that the process `incarnation` of `name` may use.
    pub fn usable_units(&self, name: &NodeName, incarnation: Incarnation) -> ShareUnits {
        let is_usable = self.lowering.get(name).is_none_or(|it| *it == incarnation);
        if is_usable { self.units_of(name) } else { 0 }
    }

    /// The table after the process `incarnation` of `name` has taken its entry back from another
    /// process that announced to lower it; `None` if there is no such announcement.
    pub fn confirm(&self, name: &NodeName, incarnation: Incarnation) -> Option<ShareTable> {
        self.lowering.get(name).filter(|it| **it != incarnation)?;
        let mut table = self.clone();
        table.lowering.remove(name);
        Some(table)
    }

    /// The next table to write for `giver` to give part of its units to `live` nodes; `None` if it
    /// should give none. Only the live holder with the most units gives, and holders that are not
    /// among the [`MAX_HOLDERS`] chosen nodes.
    ///
    /// ```
    /// use pollenlever_core::quota::ShareTable;
    /// use pollenlever_core::id::NodeName;
    /// let (a, b): (NodeName, NodeName) = ("a".into(), "b".into());
    /// let table = ShareTable::create(std::slice::from_ref(&a), 8);
    /// let announced = table.give(&a, 7, &[a.clone(), b.clone()]).unwrap();
    /// assert_eq!(announced.units_of(&b), 0);
    /// let given = announced.give(&a, 7, &[a.clone(), b.clone()]).unwrap();
    /// assert_eq!(given.units_of(&b), 500_000);
    /// ```
    pub fn give(
        &self,
        giver: &NodeName,
        incarnation: Incarnation,
        live: &[NodeName],
    ) -> Option<ShareTable> {
        let units = self.units_of(giver);
        let chosen = chosen_holders(live);
        if units == 0 || !live.contains(giver) {
            return None;
        }
        if !chosen.contains(giver) {
            return self.lower(giver, incarnation, units, &chosen);
        }
        if self.main_holder(live) != Some(giver) {
            return None;
        }
        let receivers = self.receivers(units, &chosen);
        if receivers.is_empty() || units < 2 {
            return None;
        }
        self.lower(giver, incarnation, units / 2, &receivers)
    }

    /// The next table to write for `leaver` to give all its units back; `None` if it has none or
    /// no node stays.
    pub fn hand_back(
        &self,
        leaver: &NodeName,
        incarnation: Incarnation,
        live: &[NodeName],
    ) -> Option<ShareTable> {
        let staying: Vec<NodeName> = live.iter().filter(|it| *it != leaver).cloned().collect();
        self.give_all(leaver, incarnation, &chosen_holders(&staying))
    }

    /// The next table to write for `taker` to take the units of `gone`; see
    /// [`super::ReclaimTimer`] for when.
    pub fn reclaim(
        &self,
        taker: &NodeName,
        incarnation: Incarnation,
        gone: &NodeName,
    ) -> Option<ShareTable> {
        if taker == gone {
            return None;
        }
        self.give_all(gone, incarnation, std::slice::from_ref(taker))
    }

    /// The live holder with the most units.
    pub(super) fn main_holder<'a>(&'a self, live: &[NodeName]) -> Option<&'a NodeName> {
        let holders = self.holders.iter().filter(|(name, _)| live.contains(name));
        holders.max_by_key(|(name, units)| (**units, Reverse(*name))).map(|(name, _)| name)
    }

    fn give_all(
        &self,
        from: &NodeName,
        incarnation: Incarnation,
        to: &[NodeName],
    ) -> Option<ShareTable> {
        let units = self.units_of(from);
        if units == 0 || to.is_empty() {
            return None;
        }
        self.lower(from, incarnation, units, to)
    }

    /// Announces the lowering of an entry, or lowers it if this process has announced it.
    fn lower(
        &self,
        from: &NodeName,
        incarnation: Incarnation,
        units: ShareUnits,
        to: &[NodeName],
    ) -> Option<ShareTable> {
        let mut table = self.clone();
        if self.lowering.get(from) != Some(&incarnation) {
            table.lowering.insert(from.clone(), incarnation);
            return Some(table);
        }
        table.lowering.remove(from);
        let left = self.units_of(from).checked_sub(units)?;
        if left == 0 {
            table.holders.remove(from);
        } else {
            table.holders.insert(from.clone(), left);
        }
        table.add_equally(to, units);
        Some(table)
    }

    /// Nodes that have far less than the mean, no more than can get at least that from half of
    /// `units`.
    fn receivers(&self, units: ShareUnits, chosen: &[NodeName]) -> Vec<NodeName> {
        let sum: u64 = chosen.iter().map(|it| u64::from(self.units_of(it))).sum();
        let least = (sum / chosen.len() as u64 / FAR_BELOW_MEAN).max(1);
        let mut poor: Vec<(ShareUnits, &NodeName)> = chosen
            .iter()
            .map(|it| (self.units_of(it), it))
            .filter(|(units, _)| u64::from(*units) < least)
            .collect();
        poor.sort_unstable();
        poor.truncate((u64::from(units) / 2 / least).max(1) as usize);
        poor.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn add_equally(&mut self, to: &[NodeName], units: ShareUnits) {
        let count = to.len() as ShareUnits;
        for (index, name) in to.iter().enumerate() {
            let extra = ShareUnits::from((index as ShareUnits) < units % count);
            let part = units / count + extra;
            if part > 0 {
                *self.holders.entry(name.clone()).or_default() += part;
            }
        }
    }
}

/// The nodes of `live` that hold units, the same on all nodes with the same view (rendezvous hashing
/// by name).
fn chosen_holders(live: &[NodeName]) -> Vec<NodeName> {
    let mut scored: Vec<(u64, &NodeName)> =
        live.iter().map(|it| (xxh3_64(it.as_bytes()), it)).collect();
    scored.sort_unstable();
    scored.dedup();
    scored.truncate(MAX_HOLDERS);
    scored.into_iter().map(|(_, name)| name.clone()).collect()
}
