use std::collections::HashMap;
use std::time::Duration;

use super::quota_bucket::QuotaBucket;
use super::shard_pool::ShardPool;
use super::{
    GrantId, HomeBucket, HomeShard, QuotaSettings, ShardIndex, ShareDelegation,
    ShareDelegationReply, Ticket, TokenGrant, TokenRequest, shard_of,
};
use crate::Timestamp;
use crate::id::{NodeId, WorkspaceName};
use crate::workspace::QuotaLimit;

/// The shards whose home this node is: pools delegated units and grants tokens from them.
#[derive(Debug)]
pub struct QuotaHome {
    me: NodeId,
    settings: QuotaSettings,
    limits: Vec<(WorkspaceName, QuotaLimit)>,
    pools: Vec<ShardPool>,
    /// Pool and position in it of each workspace's bucket.
    places: HashMap<WorkspaceName, (usize, usize)>,
    /// Number of grants since the start of the process.
    grants: u64,
}

impl QuotaHome {
    /// Creates a home without units.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::quota::{QuotaHome, QuotaSettings};
    /// let me = "127.0.0.1:7101@1f".parse().unwrap();
    /// let mut home = QuotaHome::new(me, QuotaSettings::default());
    /// home.set_shards(Duration::ZERO, 8);
    /// assert!(home.shards(Duration::ZERO).is_empty());
    /// ```
    pub fn new(me: NodeId, settings: QuotaSettings) -> QuotaHome {
        QuotaHome {
            me,
            settings,
            limits: Vec::new(),
            pools: Vec::new(),
            places: HashMap::new(),
            grants: 0,
        }
    }

    /// Sets the limits of all workspaces with a quota; others are removed. A new workspace starts
    /// without tokens.
    pub fn set_limits(&mut self, now: Timestamp, limits: &[(WorkspaceName, QuotaLimit)]) {
        self.limits = limits.to_vec();
        self.place_buckets(now);
    }

    /// Sets the number of shards of the share table. Without it the first delegation sets it. It
    /// never changes afterwards.
    pub fn set_shards(&mut self, now: Timestamp, shards: u32) {
        if self.pools.is_empty() {
            self.pools.resize_with(shards as usize, ShardPool::default);
            self.place_buckets(now);
        }
    }

    /// Takes a delegation and replies with new tickets.
    pub fn on_delegation(
        &mut self,
        now: Timestamp,
        delegation: &ShareDelegation,
    ) -> ShareDelegationReply {
        self.set_shards(now, delegation.shard_count);
        let ticket = Ticket { incarnation: self.me.incarnation, issued: now };
        let mut tickets = Vec::with_capacity(delegation.shards.len());
        for part in &delegation.shards {
            if let Some(pool) = self.pools.get_mut(part.shard as usize) {
                pool.on_delegation(now, self.me.incarnation, delegation, part);
                tickets.push((part.shard, ticket));
            }
        }
        ShareDelegationReply { sequence: delegation.sequence, tickets }
    }

    /// Answers token requests, one grant each in their order.
    pub fn on_requests(&mut self, now: Timestamp, requests: &[TokenRequest]) -> Vec<TokenGrant> {
        requests.iter().map(|it| self.on_request(now, it)).collect()
    }

    /// Shards for which this node has units.
    pub fn shards(&mut self, now: Timestamp) -> Vec<HomeShard> {
        let mut shards = Vec::new();
        for (shard, pool) in (0..).zip(&mut self.pools) {
            let units = pool.units_at(now);
            if units > 0 {
                let holders = pool.holders();
                let workspaces = pool.buckets.len();
                shards.push(HomeShard { shard, units, holders, workspaces });
            }
        }
        shards
    }

    /// Buckets of the shards for which this node has units.
    pub fn buckets(&mut self, now: Timestamp) -> Vec<HomeBucket> {
        let mut buckets = Vec::new();
        for (shard, pool) in (0..).zip(&mut self.pools) {
            pool.refill_all(now);
            if pool.units_at(now) > 0 {
                buckets.extend(pool.buckets.iter().map(|it| it.to_report(shard)));
            }
        }
        buckets
    }

    fn on_request(&mut self, now: Timestamp, req: &TokenRequest) -> TokenGrant {
        self.grants += 1;
        let id = GrantId { home: self.me.incarnation, number: self.grants };
        match self.places.get(&req.workspace) {
            Some((shard, index)) => self.pools[*shard].grant(now, *index, id, req, &self.settings),
            None => self.unavailable(id, req),
        }
    }

    /// Reply for a workspace that this node's configuration does not have, or not yet.
    fn unavailable(&self, id: GrantId, req: &TokenRequest) -> TokenGrant {
        TokenGrant {
            number: req.number,
            id,
            workspace: req.workspace.clone(),
            tokens: 0,
            retry_after: self.settings.unavailable_pause,
            refill: Duration::ZERO,
            is_unavailable: true,
        }
    }

    /// Creates the buckets of all limits in their pools, and keeps the tokens of those that exist.
    fn place_buckets(&mut self, now: Timestamp) {
        if self.pools.is_empty() {
            return;
        }
        let mut earlier: HashMap<WorkspaceName, QuotaBucket> = HashMap::new();
        for pool in &mut self.pools {
            pool.refill_all(now);
            earlier.extend(pool.buckets.drain(..).map(|it| (it.workspace.clone(), it)));
        }
        self.places.clear();
        for (workspace, limit) in &self.limits {
            let shard = shard_of(workspace, self.pools.len() as u32) as usize;
            let pool = &mut self.pools[shard];
            let mut bucket = earlier
                .remove(workspace)
                .unwrap_or_else(|| QuotaBucket::new(now, workspace.clone(), *limit));
            bucket.set_limit(*limit, pool.units_at(now));
            self.places.insert(workspace.clone(), (shard, pool.buckets.len()));
            pool.buckets.push(bucket);
        }
    }
}

impl QuotaBucket {
    fn to_report(&self, shard: ShardIndex) -> HomeBucket {
        HomeBucket {
            workspace: self.workspace.clone(),
            shard,
            tokens: self.tokens,
            granted: self.granted,
            refused: self.refused,
        }
    }
}
