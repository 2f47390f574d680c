use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{MeshReply, MeshRequest};
use pollenlever_core::quota::{ShardIndex, ShareDelegation};
use rand::seq::IteratorRandom;

use super::{Quota, QuotaMember, SharedQuotaNode};
use crate::mesh::{LogEvent, log_event};

/// Time between two checks for delegations that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a delegation. After a longer time a ticket in the reply would be of little use.
const DELEGATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two choices of the homes, which go over all members.
const MIN_HOMES_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at the shards whose home this node is.
const HOME_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two requests for the number of shards.
const SHARDS_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request for the number of shards.
const SHARDS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two removals of workspaces that are not used any more.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Chooses the homes of the shards and delegates the units of this node to them.
pub(crate) struct Delegator {
    host: SharedQuotaNode,
    /// Shards for which this node had units at the last look.
    home_shards: BTreeSet<ShardIndex>,
    next_homes: Timestamp,
    next_home_log: Timestamp,
    next_cleanup: Timestamp,
    next_shards_request: Timestamp,
}

impl Delegator {
    pub(crate) fn new(host: SharedQuotaNode) -> Delegator {
        Delegator {
            host,
            home_shards: BTreeSet::new(),
            next_homes: Timestamp::ZERO,
            next_home_log: Timestamp::ZERO,
            next_cleanup: CLEANUP_INTERVAL,
            next_shards_request: Timestamp::ZERO,
        }
    }

    /// Runs for as long as the node does.
    pub(crate) async fn run(mut self) {
        let quota = Arc::clone(self.host.quota());
        loop {
            quota.wait_until_active().await;
            let now = quota.clock.now();
            for node in quota.take_lost() {
                if self.host.has_quotas(node.addr) {
                    Arc::clone(&self.host).record_lost(node);
                } else {
                    quota.on_members_changed();
                }
            }
            if quota.shards() == 0 && now >= self.next_shards_request {
                self.next_shards_request = now + SHARDS_REQUEST_INTERVAL;
                self.request_shards(&quota);
            }
            let is_choice_due = now >= self.next_homes || quota.lacks_homes();
            if is_choice_due && quota.update_homes(|| self.home_candidates()) {
                self.next_homes = now + MIN_HOMES_INTERVAL;
            }
            quota.send_due_delegations();
            if now >= self.next_home_log {
                self.next_home_log = now + HOME_LOG_INTERVAL;
                self.log_home_changes(&quota);
            }
            if now >= self.next_cleanup {
                self.next_cleanup = now + CLEANUP_INTERVAL;
                quota.lock_tokens().remove_idle(now);
            }
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = quota.delegations_changed.notified() => {}
            }
        }
    }

    /// Members among which the homes are chosen: those that stay, or else all that answer.
    fn home_candidates(&self) -> Vec<NodeId> {
        let members = self.host.members();
        let staying: Vec<NodeId> =
            members.iter().filter(|it| it.is_staying()).map(|it| it.node).collect();
        if !staying.is_empty() {
            return staying;
        }
        members.iter().filter(|it| it.is_answering).map(|it| it.node).collect()
    }

    /// Asks another node for the number of shards, so that the requests of this node find their homes
    /// before it has read the share table, or while the store is silent.
    fn request_shards(&self, quota: &Arc<Quota>) {
        let is_asked = |it: &&QuotaMember| it.is_answering && it.node != quota.me;
        let members = self.host.members();
        let Some(other) = members.iter().filter(is_asked).choose(&mut rand::rng()) else { return };
        let (quota, addr) = (Arc::clone(quota), other.node.addr);
        tokio::spawn(async move {
            let req = MeshRequest::QuotaShards;
            let reply = quota.exchange_any(addr, req, SHARDS_REQUEST_TIMEOUT).await;
            if let Some(MeshReply::QuotaShards(shards)) = reply {
                quota.set_shards(shards);
            }
        });
    }

    fn log_home_changes(&mut self, quota: &Quota) {
        let shards = quota.lock_home().shards(quota.clock.now());
        for it in shards.iter().filter(|it| !self.home_shards.contains(&it.shard)) {
            log_event!(
                LogEvent::QuotaHomeTaken,
                "shard={} units={} holders={} workspaces={}",
                it.shard,
                it.units,
                it.holders.len(),
                it.workspaces
            );
        }
        let now: BTreeSet<ShardIndex> = shards.iter().map(|it| it.shard).collect();
        for shard in self.home_shards.difference(&now) {
            log_event!(LogEvent::QuotaHomeLost, "shard={shard}");
        }
        self.home_shards = now;
    }
}

impl Quota {
    /// Sends the delegations that are due.
    pub(super) fn send_due_delegations(self: &Arc<Quota>) {
        let due = {
            // Otherwise the units would first go to this node, and would have to be withdrawn.
            if self.lacks_homes() {
                return;
            }
            let homes = self.lock_homes();
            let home_of = |shard| homes.home(shard).unwrap_or(self.me);
            self.lock_holder().due(self.clock.now(), home_of)
        };
        self.send_delegations(due);
    }

    /// Sends delegations to their homes and handles the replies.
    pub(super) fn send_delegations(self: &Arc<Quota>, due: Vec<(NodeId, ShareDelegation)>) {
        for (home, delegation) in due {
            let quota = Arc::clone(self);
            tokio::spawn(async move { quota.delegate(home, delegation).await });
        }
    }

    async fn delegate(self: &Arc<Quota>, home: NodeId, delegation: ShareDelegation) {
        let reply = if home == self.me {
            self.on_delegation(&delegation)
        } else {
            let req = MeshRequest::DelegateShares(delegation);
            match self.exchange(home, req, DELEGATION_TIMEOUT).await {
                Some(MeshReply::SharesDelegated(reply)) => reply,
                _ => return,
            }
        };
        self.lock_holder().on_reply(self.clock.now(), home, &reply);
        self.delegations_changed.notify_one();
    }
}
