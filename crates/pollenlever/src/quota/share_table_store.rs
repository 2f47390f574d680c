use pollenlever_core::quota::ShareTable;

use super::SharedQuotaNode;
use super::share_table_object::ShareTableObject;
use crate::mesh::{LogEvent, log_event};
use crate::store::{ABSENT_VERSION, Revision, SharedObjectApi, StoreError};
use serde_json::Value;

/// Kind of the store object with the share table.
const KIND: &str = "pollenlever-quota";
/// Name of the store object with the share table.
const NAME: &str = "shares";

/// Content of the store object with the share table.
#[derive(Debug, Clone)]
pub(super) enum StoredTable {
    /// There is no object.
    Absent,
    /// A table of this revision.
    Table(Revision, ShareTable),
    /// An object of this revision that is not a table.
    Invalid(Revision),
}

/// Reads and writes the share table in the platform's store.
pub(super) struct ShareTableStore {
    host: SharedQuotaNode,
    api: SharedObjectApi,
    /// Revision of the last object that was logged as not being a table.
    refused: Revision,
    is_lost: bool,
}

impl ShareTableStore {
    pub(super) fn new(host: SharedQuotaNode, api: SharedObjectApi) -> ShareTableStore {
        ShareTableStore { host, api, refused: ABSENT_VERSION, is_lost: false }
    }

    /// Era of the store, as far as its answers have told.
    pub(super) fn era(&self) -> u64 {
        self.api.era()
    }

    /// Reads the table, which may be some seconds old.
    pub(super) async fn read_allowing_stale(&mut self) -> Result<StoredTable, StoreError> {
        let list = self.api.list_allowing_stale(KIND).await;
        let list = self.record(list)?;
        let found = list.objects.into_iter().find(|it| it.name == NAME);
        Ok(found.map_or(StoredTable::Absent, |it| self.parse(it.version, &it.value)))
    }

    /// Reads the present table.
    pub(super) async fn read(&mut self) -> Result<StoredTable, StoreError> {
        let found = self.api.get(KIND, NAME).await;
        let found = self.record(found)?;
        Ok(found.map_or(StoredTable::Absent, |it| self.parse(it.version, &it.value)))
    }

    /// Writes the table if its revision is `expected`, and returns the new one. If the revision is
    /// another one, returns the present table as an error.
    pub(super) async fn write(
        &mut self,
        expected: Revision,
        table: &ShareTable,
    ) -> Result<Result<Revision, StoredTable>, StoreError> {
        let value = serde_json::to_value(ShareTableObject::from(table))
            .map_err(|err| StoreError::Malformed(err.to_string()))?;
        match self.api.put(KIND, NAME, expected, &value).await {
            Err(StoreError::Conflict(current)) => {
                self.host.record_store_call(true);
                Ok(Err(self.parse(current.version, &current.value)))
            }
            written => self.record(written).map(Ok),
        }
    }

    fn parse(&mut self, version: Revision, value: &Value) -> StoredTable {
        if version == ABSENT_VERSION {
            return StoredTable::Absent;
        }
        match ShareTableObject::read(value) {
            Ok(table) => StoredTable::Table(version, table),
            Err(err) => {
                if version != self.refused {
                    let reason = err.to_string();
                    log_event!(LogEvent::ShareTableRefused, "version={version} reason={reason:?}");
                    self.refused = version;
                }
                StoredTable::Invalid(version)
            }
        }
    }

    /// Counts a call, and logs the first one that fails and the first that succeeds again.
    fn record<T>(&mut self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        self.host.record_store_call(result.is_ok());
        match &result {
            Ok(_) if self.is_lost => log_event!(LogEvent::StoreRegained, "kind={KIND}"),
            Err(err) if !self.is_lost => {
                let reason = err.to_string();
                log_event!(LogEvent::StoreLost, "kind={KIND} reason={reason:?}");
            }
            _ => {}
        }
        self.is_lost = result.is_err();
        result
    }
}
