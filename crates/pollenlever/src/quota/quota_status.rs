use std::collections::BTreeMap;

use pollenlever_core::quota::{HomeBucket, HomeShard};
use serde::{Deserialize, Serialize};

use super::Quota;
use crate::store::Revision;

/// State of quotas on a node, for operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The node.
    pub node: String,
    /// Whether a workspace has a quota.
    pub is_active: bool,
    /// Version of the share table; 0 if the node has not read one.
    pub table_version: Revision,
    /// Units in the share table, by node.
    pub holders: BTreeMap<String, u32>,
    /// Units that the node may delegate now.
    pub units: u32,
    /// Homes in the order of their shards, as the node sees them.
    pub homes: Vec<String>,
    /// Shards for which the node has units as their home.
    pub shards: Vec<ShardStatus>,
    /// Token buckets of the workspaces of these shards.
    pub buckets: Vec<BucketStatus>,
}

/// A shard at its home.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: u32,
    /// Units that are delegated now, out of 1,000,000.
    pub units: u32,
    /// Units that each holder delegates.
    pub holders: BTreeMap<String, u32>,
    /// Number of workspaces with a quota in the shard.
    pub workspaces: usize,
}

/// Token bucket of a workspace at its home.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BucketStatus {
    /// Name of the workspace.
    pub workspace: String,
    /// Its shard.
    pub shard: u32,
    /// Tokens that can be granted now.
    pub tokens: f64,
    /// Number of tokens granted since the start of the process.
    pub granted: u64,
    /// Number of wanted tokens that were not granted.
    pub refused: u64,
}

impl Quota {
    /// The state of quotas on this node.
    pub(crate) fn status(&self) -> QuotaStatus {
        let now = self.clock.now();
        let (table_version, holders) = self.table();
        let units = self.lock_holder().units(now);
        let homes = self.lock_homes().iter().map(|it| it.to_string()).collect();
        let mut home = self.lock_home();
        QuotaStatus {
            node: self.me.to_string(),
            is_active: self.is_active(),
            table_version,
            holders,
            units,
            homes,
            shards: home.shards(now).into_iter().map(ShardStatus::from).collect(),
            buckets: home.buckets(now).into_iter().map(BucketStatus::from).collect(),
        }
    }

    /// Sets the gauges to the current state.
    pub(crate) fn update_metrics(&self) {
        let now = self.clock.now();
        let units = self.lock_holder().units(now);
        let shards = self.lock_home().shards(now);
        self.metrics.update(units, &shards);
    }
}

impl From<HomeShard> for ShardStatus {
    fn from(it: HomeShard) -> ShardStatus {
        let HomeShard { shard, units, holders, workspaces } = it;
        let holders = holders.into_iter().map(|(name, units)| (name.to_string(), units)).collect();
        ShardStatus { shard, units, holders, workspaces }
    }
}

impl From<HomeBucket> for BucketStatus {
    fn from(it: HomeBucket) -> BucketStatus {
        let HomeBucket { workspace, shard, tokens, granted, refused } = it;
        BucketStatus { workspace: workspace.to_string(), shard, tokens, granted, refused }
    }
}
