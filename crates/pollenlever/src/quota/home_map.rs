use pollenlever_core::id::{NodeId, WorkspaceName};
use pollenlever_core::membership::highest_scores;
use pollenlever_core::quota::{ShardIndex, shard_of};

/// Seed for choosing the home of a shard; the shard is added to it.
const HOME_SEED: u64 = 0x7175_6f74_6120;

/// The home of each shard, as this node sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct HomeMap {
    /// Homes in the order of their shards; empty while the number of shards is not known.
    homes: Vec<NodeId>,
}

impl HomeMap {
    /// Chooses the homes of `shards` shards among `candidates` by rendezvous hashing, or `me` if there
    /// are none.
    pub(super) fn new(me: NodeId, shards: u32, candidates: &[NodeId]) -> HomeMap {
        let home = |shard: ShardIndex| {
            let seed = HOME_SEED + u64::from(shard);
            let chosen = highest_scores(candidates.iter().copied(), seed, 1);
            chosen.first().copied().unwrap_or(me)
        };
        HomeMap { homes: (0..shards).map(home).collect() }
    }

    /// Number of shards; 0 if it is not known.
    pub(super) fn shards(&self) -> u32 {
        self.homes.len() as u32
    }

    /// Home of a shard; `None` if there is no such shard.
    pub(super) fn home(&self, shard: ShardIndex) -> Option<NodeId> {
        self.homes.get(shard as usize).copied()
    }

    /// Home of the shard of a workspace; `None` while the number of shards is not known.
    pub(super) fn home_of(&self, workspace: &WorkspaceName) -> Option<NodeId> {
        if self.homes.is_empty() { None } else { self.home(shard_of(workspace, self.shards())) }
    }

    /// Homes in the order of their shards.
    pub(super) fn iter(&self) -> impl Iterator<Item = NodeId> {
        self.homes.iter().copied()
    }
}
