use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::NodeName;
use pollenlever_core::mesh::MeshRequest;
use pollenlever_core::quota::{ReclaimTimer, ShareTable};

use super::known_table::KnownTable;
use super::share_table_store::{ShareTableStore, StoredTable};
use super::share_write::{ShareAction, ShareWrite};
use super::{Quota, QuotaMember, SharedQuotaNode, node_name};
use crate::mesh::{LogEvent, StoreBackoff, log_event};
use crate::store::{ABSENT_VERSION, Revision, SharedObjectApi, StoreError};

/// Time between two reads by a node that does not know the table.
const READ_INTERVAL_WITHOUT_TABLE: Duration = Duration::from_secs(1);
/// Time between two reads by a node that knows the table. Nodes that are given units are told.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two decisions about writes.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether the delegations are as low as a write needs it.
const LOWERED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest backoff between failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Timeout of a message to another node about the share table.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the share table from the store, and writes it to create it and to pass units on.
pub(crate) struct ShareKeeper {
    pub(super) host: SharedQuotaNode,
    pub(super) quota: Arc<Quota>,
    pub(super) known: KnownTable,
    store: ShareTableStore,
    /// Write that is under way: it waits until the delegations are lowered, or its outcome is
    /// unknown.
    write: Option<ShareWrite>,
    reclaim: ReclaimTimer,
    next_read: Timestamp,
    /// Versions of the members and of the table for which no write was due.
    decided_for: Option<(u64, Revision)>,
    pub(super) backoff: StoreBackoff,
}

impl ShareKeeper {
    pub(crate) fn new(host: SharedQuotaNode, api: SharedObjectApi) -> ShareKeeper {
        let quota = Arc::clone(host.quota());
        ShareKeeper {
            store: ShareTableStore::new(Arc::clone(&host), api),
            known: KnownTable::new(Arc::clone(&quota)),
            host,
            quota,
            write: None,
            reclaim: ReclaimTimer::default(),
            next_read: Timestamp::ZERO,
            decided_for: None,
            backoff: StoreBackoff::new(MAX_BACKOFF),
        }
    }

    /// Keeps the table until the node leaves, and then hands its units back.
    pub(crate) async fn run(mut self) {
        let quota = Arc::clone(&self.quota);
        while !quota.is_leaving() {
            tokio::select! {
                () = self.keep_up_to_date() => {}
                () = quota.wait_until_leaving() => {}
            }
        }
        quota.wait_until_active().await;
        self.hand_back().await;
    }

    async fn keep_up_to_date(&mut self) {
        self.quota.wait_until_active().await;
        if let Err(err) = self.step().await {
            self.pause_after(&err).await;
            return;
        }
        self.backoff.reset();
        let pause = match self.write {
            Some(_) => LOWERED_CHECK_INTERVAL,
            None => DECISION_INTERVAL.mul_f64(rand::random_range(0.75..1.25)),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.quota.table_written.notified() => self.next_read = Timestamp::ZERO,
        }
    }

    /// Waits after a failed call.
    pub(super) async fn pause_after(&mut self, err: &StoreError) {
        log::debug!("share table not read or written reason={:?}", err.to_string());
        self.backoff.pause().await;
    }

    /// Continues the write that is under way, or else reads the table if that is due and decides
    /// about the next write.
    async fn step(&mut self) -> Result<(), StoreError> {
        if let Some(write) = self.write.take() {
            return self.carry_out(write).await;
        }
        let now = self.quota.clock.now();
        let is_read_due = now >= self.next_read;
        if is_read_due {
            self.read(now).await?;
        }
        self.write = self.next_write(now, is_read_due);
        Ok(())
    }

    pub(super) async fn read(&mut self, now: Timestamp) -> Result<(), StoreError> {
        let stored = self.store.read_allowing_stale().await?;
        if self.known.needs_present_table(&stored) {
            let stored = self.store.read().await?;
            self.known.update_present(now, stored, self.store.era());
        } else {
            self.known.update(now, stored, self.store.era());
        }
        let is_known = self.known.table().is_some();
        let interval = if is_known { READ_INTERVAL } else { READ_INTERVAL_WITHOUT_TABLE };
        self.next_read = now + interval.mul_f64(rand::random_range(0.75..1.0));
        Ok(())
    }

    /// The next write that this node should make, if any. Lowers the delegations as it needs.
    fn next_write(&mut self, now: Timestamp, has_read: bool) -> Option<ShareWrite> {
        let decided_for = (self.quota.members_version(), self.known.newest());
        if !has_read && self.decided_for == Some(decided_for) {
            return None;
        }
        let write = match self.known.table().cloned() {
            None => self.creation(),
            Some((expected, table)) => {
                let transfer = self.transfer(now, &table, has_read);
                transfer.map(|(action, table)| ShareWrite { action, expected, table })
            }
        };
        // The end of settling makes a write due without a change of the members or the table.
        let is_final = write.is_none() && !self.quota.lock_holder().is_settling(now);
        self.decided_for = is_final.then_some(decided_for);
        if let Some(write) = &write
            && self.lowers_own_units(write)
        {
            let units = write.table.units_of(&self.quota.name);
            self.quota.lock_holder().lower_to(write.expected, units);
            self.quota.delegations_changed.notify_one();
        }
        write
    }

    /// The write that creates the table, or restores one that was deleted.
    fn creation(&self) -> Option<ShareWrite> {
        if !self.known.is_absent() || !self.host.may_create_shares() {
            return None;
        }
        let create = || ShareTable::create(&self.staying_names(), self.host.shards_for_new_table());
        let table = self.known.last_table().cloned().unwrap_or_else(create);
        Some(ShareWrite { action: ShareAction::Create, expected: ABSENT_VERSION, table })
    }

    /// The table after the next transfer of units that this node should make, if any.
    fn transfer(
        &mut self,
        now: Timestamp,
        table: &ShareTable,
        has_read: bool,
    ) -> Option<(ShareAction, ShareTable)> {
        let (name, incarnation) = (&self.quota.name, self.quota.me.incarnation);
        if table.units_of(name) == 0 || self.quota.lock_holder().is_settling(now) {
            return None;
        }
        if let Some(after) = table.confirm(name, incarnation) {
            return Some((ShareAction::Confirm, after));
        }
        if let Some(after) = table.give(name, incarnation, &self.staying_names()) {
            return Some((ShareAction::Give, after));
        }
        if !has_read {
            return None;
        }
        // A member that has announced to leave, or does not answer, is not gone yet.
        let present = self.member_names(|_| true);
        let after = self.reclaim.next_table(now, table, name, incarnation, &present)?;
        Some((ShareAction::Reclaim, after))
    }

    pub(super) fn lowers_own_units(&self, write: &ShareWrite) -> bool {
        write.action != ShareAction::Create
            && write.table.units_of(&self.quota.name) < self.known.own_units()
    }

    /// Makes a write once the delegations are low enough for it. It is kept if its outcome is not
    /// known and it lowers the units of this node.
    async fn carry_out(&mut self, write: ShareWrite) -> Result<(), StoreError> {
        let now = self.quota.clock.now();
        let is_lowering = self.lowers_own_units(&write);
        let units = write.table.units_of(&self.quota.name);
        if is_lowering && !self.quota.lock_holder().is_lowered_to(now, units) {
            self.write = Some(write);
            return Ok(());
        }
        let written = self.write(&write).await;
        if written.is_err() {
            self.next_read = Timestamp::ZERO;
            self.write = Some(write).filter(|_| is_lowering);
        }
        written.map(drop)
    }

    /// Writes the table. Returns whether it was written; if another process has written it first, its
    /// table is used.
    pub(super) async fn write(&mut self, write: &ShareWrite) -> Result<bool, StoreError> {
        let now = self.quota.clock.now();
        let ShareWrite { action, expected, table } = write;
        let written = self.store.write(*expected, table).await?;
        let is_written = written.is_ok();
        let stored = match written {
            Ok(revision) => {
                log_event!(
                    LogEvent::ShareTableWritten,
                    "action={} version={revision} before={expected} holders={}",
                    action.as_str(),
                    table.holders.len()
                );
                self.notify_receivers(table);
                StoredTable::Table(revision, table.clone())
            }
            Err(current) => current,
        };
        self.known.update_present(now, stored, self.store.era());
        Ok(is_written)
    }

    /// Tells the nodes that have more units in `table` than before to read it.
    fn notify_receivers(&self, table: &ShareTable) {
        let before = self.known.table().map(|it| &it.1);
        for (name, units) in &table.holders {
            let is_receiver = before.is_none_or(|it| it.units_of(name) < *units);
            if let Some(addr) =
                name.parse().ok().filter(|it| is_receiver && *it != self.quota.me.addr)
            {
                let quota = Arc::clone(&self.quota);
                tokio::spawn(async move {
                    quota.exchange_any(addr, MeshRequest::ShareTableWritten, MESSAGE_TIMEOUT).await
                });
            }
        }
    }

    /// Members that can be expected to stay.
    pub(super) fn staying_names(&self) -> Vec<NodeName> {
        self.member_names(QuotaMember::is_staying)
    }

    fn member_names(&self, is_included: impl Fn(&QuotaMember) -> bool) -> Vec<NodeName> {
        let members = self.host.members();
        members.iter().filter(|it| is_included(it)).map(|it| node_name(it.node.addr)).collect()
    }
}
