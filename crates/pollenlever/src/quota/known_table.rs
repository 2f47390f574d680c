use std::sync::Arc;

use pollenlever_core::Timestamp;
use pollenlever_core::quota::{ShareTable, ShareUnits};

use super::Quota;
use super::share_table_store::StoredTable;
use crate::mesh::{LogEvent, log_event};
use crate::store::{ABSENT_VERSION, Revision};

/// What this node knows of the share table in the store.
pub(super) struct KnownTable {
    quota: Arc<Quota>,
    presence: Presence,
    /// The last table that was read or written; kept when the object is deleted.
    table: Option<(Revision, ShareTable)>,
    /// Revision of the newest object that was seen.
    newest: Revision,
    /// Whether a read that was not stale, or a write, has succeeded in this process.
    has_seen_present: bool,
    /// Era of the store from which the last table came.
    era: u64,
}

/// What the last read has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Unread,
    Absent,
    Table,
    Invalid,
}

impl KnownTable {
    pub(super) fn new(quota: Arc<Quota>) -> KnownTable {
        KnownTable {
            quota,
            presence: Presence::Unread,
            table: None,
            newest: ABSENT_VERSION,
            has_seen_present: false,
            era: 0,
        }
    }

    /// The table in the store and its revision; `None` if there is none or it is not known.
    pub(super) fn table(&self) -> Option<&(Revision, ShareTable)> {
        self.table.as_ref().filter(|_| self.presence == Presence::Table)
    }

    /// The last table, even if it was deleted since.
    pub(super) fn last_table(&self) -> Option<&ShareTable> {
        self.table.as_ref().map(|it| &it.1)
    }

    /// Whether the store has no table.
    pub(super) fn is_absent(&self) -> bool {
        self.presence == Presence::Absent
    }

    /// Revision of the newest object that was seen.
    pub(super) fn newest(&self) -> Revision {
        self.newest
    }

    /// Units in this node's entry.
    pub(super) fn own_units(&self) -> ShareUnits {
        self.last_table().map_or(0, |it| it.units_of(&self.quota.name))
    }

    /// Whether a stale read does not do, and the present table has to be read: the first time that
    /// this node has units, as an older table may lack the announcement of an earlier process that
    /// lowers them, and when a known table seems to be deleted.
    pub(super) fn needs_present_table(&self, stale: &StoredTable) -> bool {
        match stale {
            StoredTable::Absent => self.presence == Presence::Table,
            StoredTable::Table(_, table) => {
                !self.has_seen_present && table.units_of(&self.quota.name) > 0
            }
            StoredTable::Invalid(_) => false,
        }
    }

    /// Handles the result of a read that was not stale, or of a write. `now` is the start of the call.
    pub(super) fn update_present(&mut self, now: Timestamp, stored: StoredTable, era: u64) {
        self.has_seen_present = true;
        self.update(now, stored, era);
    }

    /// Handles the result of a read in `era` that began at `now`. An object older than one seen before is
    /// ignored.
    pub(super) fn update(&mut self, now: Timestamp, stored: StoredTable, era: u64) {
        match stored {
            StoredTable::Absent => self.presence = Presence::Absent,
            StoredTable::Invalid(revision) if revision >= self.newest => {
                self.presence = Presence::Invalid;
                self.newest = revision;
            }
            StoredTable::Table(revision, table) if revision >= self.newest => {
                self.presence = Presence::Table;
                if revision > self.newest {
                    self.quota.set_table(revision, &table);
                }
                self.newest = revision;
                if self.era < era {
                    self.enter_era(era, &table);
                }
                self.apply(now, revision, &table);
                self.table = Some((revision, table));
            }
            StoredTable::Invalid(_) | StoredTable::Table(..) => {}
        }
    }

    /// Handles the first table of a later era.
    fn enter_era(&mut self, era: u64, table: &ShareTable) {
        self.era = era;
        if self.table.is_some() {
            let units = table.units_of(&self.quota.name);
            let now = self.quota.clock.now();
            self.quota.lock_holder().enter_era(now, units);
        }
    }

    fn apply(&self, now: Timestamp, revision: Revision, table: &ShareTable) {
        let quota = &self.quota;
        quota.set_shards(table.shards);
        let (before, units) = {
            let mut holder = quota.lock_holder();
            let before = holder.units(now);
            holder.on_table(now, revision, table);
            (before, holder.units(now))
        };
        if units != before {
            let holders = table.holders.len();
            log_event!(
                LogEvent::SharesHeld,
                "units={units} before={before} version={revision} holders={holders}"
            );
            quota.delegations_changed.notify_one();
        }
    }
}
