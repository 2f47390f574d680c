use std::collections::HashMap;
use std::time::Duration;

use super::ShareTable;
use crate::Timestamp;
use crate::id::{Incarnation, NodeName};

/// Time of absence from the members after which the lowering of a holder's entry is announced.
const ANNOUNCE_AFTER: Duration = Duration::from_secs(60);
/// Time after the announcement until the units are taken. Longer than the time for which a holder
/// uses its units after its last read of the table ([`super::QuotaSettings::table_lifetime`]), its
/// delegations, and the age of a stale read together.
const TAKE_AFTER: Duration = Duration::from_secs(30 * 60);

/// Decides when units of nodes that are gone for good are taken over.
///
/// Absence from the members does not prove that a node has ended. The announcement in the table
/// makes a holder that still reads the table stop, or take its entry back; one that cannot read
/// it stops after [`super::QuotaSettings::table_lifetime`].
#[derive(Debug, Default)]
pub struct ReclaimTimer {
    absent: HashMap<NodeName, Absence>,
}

#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Timestamp,
    /// First read of the table with the announcement of this process.
    announced: Option<Timestamp>,
}

impl ReclaimTimer {
    /// The next table to write for `taker` to take over units of a node that is gone; `None` if
    /// there is nothing to do. To be called after each read of the table. Only the live holder
    /// with the most units takes units over.
    pub fn next_table(
        &mut self,
        now: Timestamp,
        table: &ShareTable,
        taker: &NodeName,
        incarnation: Incarnation,
        live: &[NodeName],
    ) -> Option<ShareTable> {
        self.update(now, table, incarnation, live);
        if table.main_holder(live) != Some(taker) {
            return None;
        }
        let due =
            self.absent.iter().filter(|(_, it)| it.is_due(now)).map(|(name, _)| name).min()?;
        table.reclaim(taker, incarnation, due)
    }

    fn update(
        &mut self,
        now: Timestamp,
        table: &ShareTable,
        incarnation: Incarnation,
        live: &[NodeName],
    ) {
        self.absent.retain(|name, _| table.holders.contains_key(name) && !live.contains(name));
        for name in table.holders.keys().filter(|it| !live.contains(it)) {
            let absence = Absence { since: now, announced: None };
            let absence = self.absent.entry(name.clone()).or_insert(absence);
            let is_announced = table.lowering.get(name) == Some(&incarnation);
            if !is_announced && absence.announced.is_some() {
                absence.since = now;
            }
            absence.announced = is_announced.then(|| absence.announced.unwrap_or(now));
        }
    }
}

impl Absence {
    /// Whether the next of the two writes is due.
    fn is_due(&self, now: Timestamp) -> bool {
        match self.announced {
            None => now.saturating_sub(self.since) >= ANNOUNCE_AFTER,
            Some(announced) => now.saturating_sub(announced) >= TAKE_AFTER,
        }
    }
}
