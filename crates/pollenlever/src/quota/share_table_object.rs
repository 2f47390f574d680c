use std::collections::BTreeMap;

use pollenlever_core::id::{NodeId, NodeName};
use pollenlever_core::quota::{ShareTable, ShareUnits, TOTAL_UNITS};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Number of shards that a table may have.
const SHARDS_RANGE: std::ops::RangeInclusive<u32> = 1..=256;

/// Why an object of the store is not a share table.
#[derive(Debug, Error)]
pub(super) enum InvalidShareTable {
    /// The object has another form.
    #[error("not a share table, {0}; restore the object or delete it")]
    Form(#[from] serde_json::Error),
    /// The number of shards is out of range.
    #[error("{0} shards; allowed are 1 to 256")]
    Shards(u32),
    /// The holders have more units than there are.
    #[error("the holders have {0} units; allowed are {TOTAL_UNITS}")]
    Units(u64),
}

/// The share table as stored in the platform's object store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ShareTableObject {
    /// Number of shards into which the workspaces are divided.
    shards: u32,
    /// Units of each node, by its address for other nodes.
    holders: BTreeMap<String, ShareUnits>,
    /// Process that wrote this version, so that each write changes the object.
    writer: String,
}

impl ShareTableObject {
    /// The stored form of a table that the process `writer` writes.
    pub(super) fn new(table: &ShareTable, writer: NodeId) -> ShareTableObject {
        let holders = table.holders.iter().map(|(name, units)| (name.to_string(), *units));
        ShareTableObject {
            shards: table.shards,
            holders: holders.collect(),
            writer: writer.to_string(),
        }
    }

    /// Reads a table from a value of the store.
    ///
    /// # Errors
    ///
    /// [`InvalidShareTable`] if the value has another form, or gives away more units than there are.
    pub(super) fn read(value: &Value) -> Result<ShareTable, InvalidShareTable> {
        let object = ShareTableObject::deserialize(value)?;
        if !SHARDS_RANGE.contains(&object.shards) {
            return Err(InvalidShareTable::Shards(object.shards));
        }
        let sum = object.holders.values().map(|it| u64::from(*it)).sum();
        if sum > u64::from(TOTAL_UNITS) {
            return Err(InvalidShareTable::Units(sum));
        }
        let holders = object.holders.into_iter().map(|(name, it)| (NodeName::from(name), it));
        Ok(ShareTable { shards: object.shards, holders: holders.collect() })
    }
}
