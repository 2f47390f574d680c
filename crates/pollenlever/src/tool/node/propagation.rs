use std::collections::BTreeMap;

use serde::Serialize;

use super::RegionPropagation;
use crate::tool::output::Table;

/// On how many nodes a change has taken effect, by region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Propagation {
    /// Progress by name of the region.
    pub regions: BTreeMap<String, RegionPropagation>,
    /// Why the list of members could not be fetched; `None` if it is known.
    pub members_unknown: Option<String>,
}

impl Propagation {
    /// Returns whether every known node has the change; false while the members are not known.
    pub fn is_complete(&self) -> bool {
        let known = self.members_unknown.is_none() && !self.regions.is_empty();
        known && self.regions.values().all(|it| it.done == it.nodes)
    }

    /// Returns the progress as a text table; `done` is the heading of the column with the number of
    /// nodes that have the change.
    pub fn table(&self, done: &str) -> String {
        let mut table = Table::new(["region", "nodes", done, "after ms", "not reached"]);
        for (name, region) in &self.regions {
            let after = region.done_ms.map_or("-".to_owned(), |it| it.to_string());
            let unreachable = region.unreachable.join(" ");
            let (nodes, done) = (region.nodes.to_string(), region.done.to_string());
            table.add_row([name.clone(), nodes, done, after, unreachable]);
        }
        match &self.members_unknown {
            Some(reason) => format!("members not known: {reason}\n{table}"),
            None => table.to_string(),
        }
    }
}
