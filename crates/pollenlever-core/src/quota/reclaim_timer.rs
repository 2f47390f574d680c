use std::collections::HashMap;

use super::{QuotaSettings, ShareTable};
use crate::Timestamp;
use crate::id::{Incarnation, NodeName};

/// Decides when units of nodes that are gone for good are taken over.
///
/// Absence from the members does not prove that a node has ended. The announcement in the table
/// makes a holder that still reads the table stop, or take its entry back; one that cannot read
/// it stops after [`super::QuotaSettings::table_lifetime`].
#[derive(Debug, Default)]
pub struct ReclaimTimer {
    settings: QuotaSettings,
    absent: HashMap<NodeName, Absence>,
}

#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Timestamp,
    /// First read of the table with the announcement of this process.
    announced: Option<Timestamp>,
}

impl ReclaimTimer {
    /// Creates a timer that has seen no absence.
    pub fn new(settings: QuotaSettings) -> ReclaimTimer {
        ReclaimTimer { settings, absent: HashMap::new() }
    }

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
        let due = self
            .absent
            .iter()
            .filter(|(_, it)| it.is_due(now, &self.settings))
            .map(|(name, _)| name)
            .min()?;
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
    fn is_due(&self, now: Timestamp, settings: &QuotaSettings) -> bool {
        match self.announced {
            None => now.saturating_sub(self.since) >= settings.announce_after,
            Some(announced) => now.saturating_sub(announced) >= settings.take_after,
        }
    }
}
