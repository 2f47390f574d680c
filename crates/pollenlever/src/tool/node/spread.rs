use std::collections::BTreeMap;

use serde::Serialize;

use super::RegionSpread;
use crate::tool::output::Table;

/// How far a change has spread, by region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Regions by name.
    pub regions: BTreeMap<String, RegionSpread>,
    /// Why the members are not known, if the node that names them did not tell.
    pub members_unknown: Option<String>,
}

impl Spread {
    /// Whether every known node has the change.
    pub fn is_complete(&self) -> bool {
        let known = self.members_unknown.is_none() && !self.regions.is_empty();
        known && self.regions.values().all(|it| it.done == it.nodes)
    }

    /// The regions in columns; `done` names the column of nodes that have the change.
    pub fn table(&self, done: &str) -> String {
        let mut table = Table::new(["region", "nodes", done, "after ms", "not reached"]);
        for (name, region) in &self.regions {
            let after = region.done_ms.map_or("-".to_owned(), |it| it.to_string());
            let unreachable = region.unreachable.join(" ");
            let (nodes, done) = (region.nodes.to_string(), region.done.to_string());
            table.row([name.clone(), nodes, done, after, unreachable]);
        }
        match &self.members_unknown {
            Some(reason) => format!("members not known: {reason}\n{table}"),
            None => table.to_string(),
        }
    }
}
