use std::collections::HashMap;

use pollenlever_core::id::NodeName;
use pollenlever_core::quota::*;

use super::Cluster;

impl Cluster {
    /// Checks the units in the pools of all homes now against the table.
    pub(super) fn check_units(&mut self) {
        let mut by_shard: HashMap<ShardIndex, u64> = HashMap::new();
        let mut by_holder: HashMap<(ShardIndex, NodeName), u64> = HashMap::new();
        for node in &mut self.nodes {
            let now = self.now + node.skew;
            let shards = node.process.as_mut().map(|it| it.home.shards(now)).unwrap_or_default();
            for it in shards {
                *by_shard.entry(it.shard).or_default() += u64::from(it.units);
                for (holder, units) in it.holders {
                    *by_holder.entry((it.shard, holder)).or_default() += u64::from(units);
                }
            }
        }
        let newest = self.tables.last();
        let entry_of = |name: &NodeName| newest.map_or(0, |it| u64::from(it.1.units_of(name)));
        let shard = by_shard.into_iter().find(|it| it.1 > u64::from(TOTAL_UNITS));
        let holder = by_holder.into_iter().find(|it| it.1 > entry_of(&it.0.1));
        if shard.is_some() || holder.is_some() {
            let breach = format!("at {:?}: {shard:?} {holder:?}", self.now);
            self.breach.get_or_insert(breach);
        }
    }
}
