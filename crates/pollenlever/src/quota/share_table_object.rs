use std::collections::BTreeMap;

use pollenlever_core::id::{Incarnation, NodeName};
use pollenlever_core::quota::{ShareTable, ShareUnits, TOTAL_UNITS};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Why an object of the store is not a share table.
#[derive(Debug, Error)]
pub(super) enum InvalidShareTable {
    /// The object has another form.
    #[error("not a share table, {0}; restore the object")]
    Form(#[from] serde_json::Error),
    /// The process that announced to lower an entry is not a hexadecimal number.
    #[error("the incarnation {0:?} is not a hexadecimal number; restore the object")]
    Incarnation(String),
    /// The number of shards or the sum of the units is out of range.
    #[error(
        "{shards} shards and {units} units; allowed are 1 to 256 shards and up to {TOTAL_UNITS} \
         units; restore the object"
    )]
    Range {
        /// Number of shards.
        shards: u32,
        /// Sum of the units.
        units: u64,
    },
}

/// The share table as stored in the platform's object store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ShareTableObject {
    /// Number of shards into which the workspaces are divided.
    shards: u32,
    /// Units of each node.
    holders: BTreeMap<String, ShareUnits>,
    /// Process that has announced to lower the entry of a node: its incarnation in hexadecimal, as
    /// JSON readers may round numbers of this size.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    lowering: BTreeMap<String, String>,
}

impl ShareTableObject {
    /// Reads a table from a value of the store.
    ///
    /// # Errors
    ///
    /// [`InvalidShareTable`] if the value has another form, or gives away more units than there are.
    pub(super) fn read(value: &Value) -> Result<ShareTable, InvalidShareTable> {
        let object = ShareTableObject::deserialize(value)?;
        let units = object.holders.values().map(|it| u64::from(*it)).sum();
        let shards = object.shards;
        let holders = object.holders.into_iter().map(|(name, it)| (NodeName::from(name), it));
        let lowering = object.lowering.into_iter().map(|(name, incarnation)| {
            let incarnation = Incarnation::from_str_radix(&incarnation, 16)
                .map_err(|_| InvalidShareTable::Incarnation(incarnation))?;
            Ok((NodeName::from(name), incarnation))
        });
        let lowering = lowering.collect::<Result<_, InvalidShareTable>>()?;
        let table = ShareTable { shards, holders: holders.collect(), lowering };
        if table.is_valid() { Ok(table) } else { Err(InvalidShareTable::Range { shards, units }) }
    }
}

impl From<&ShareTable> for ShareTableObject {
    fn from(table: &ShareTable) -> ShareTableObject {
        let holders = table.holders.iter().map(|(name, units)| (name.to_string(), *units));
        let lowering =
            table.lowering.iter().map(|(name, it)| (name.to_string(), format!("{it:x}")));
        ShareTableObject {
            shards: table.shards,
            holders: holders.collect(),
            lowering: lowering.collect(),
        }
    }
}
