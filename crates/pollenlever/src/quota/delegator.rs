use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{MeshReply, MeshRequest};
use pollenlever_core::quota::{ShardIndex, ShareDelegation};

use super::{Quota, SharedQuotaHost};
use crate::mesh::{LogEvent, log_event};

/// Time between two checks for delegations that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a delegation. After a longer time a ticket in the reply would be of little use.
const DELEGATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of checks between two looks at the shards whose home this node is.
const CHECKS_PER_HOME_CHECK: u32 = 20;
/// Number of checks between two removals of workspaces that are not used any more.
const CHECKS_PER_CLEANUP: u32 = 1200;

/// Chooses the homes of the shards and delegates the units of this node to them.
pub(crate) struct Delegator {
    host: SharedQuotaHost,
    /// Shards for which this node had units at the last look.
    home_shards: BTreeSet<ShardIndex>,
    checks: u32,
}

impl Delegator {
    pub(crate) fn new(host: SharedQuotaHost) -> Delegator {
        Delegator { host, home_shards: BTreeSet::new(), checks: 0 }
    }

    /// Runs for as long as the node does.
    pub(crate) async fn run(mut self) {
        let quota = Arc::clone(self.host.quota());
        loop {
            quota.wait_until_active().await;
            for node in quota.take_lost() {
                Arc::clone(&self.host).record_lost(node);
            }
            quota.update_homes(|| self.home_candidates());
            quota.send_due_delegations();
            self.checks = self.checks.wrapping_add(1);
            if self.checks.is_multiple_of(CHECKS_PER_HOME_CHECK) {
                self.log_home_changes(&quota);
            }
            if self.checks.is_multiple_of(CHECKS_PER_CLEANUP) {
                quota.lock_tokens().remove_idle(quota.clock.now());
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

    fn log_home_changes(&mut self, quota: &Quota) {
        let shards = quota.lock_home().shards(quota.clock.now());
        for it in shards.iter().filter(|it| !self.home_shards.contains(&it.shard)) {
            log_event!(
                LogEvent::QuotaHomeTaken,
                "shard={} units={} holders={} workspaces={}",
                it.shard,
                it.units,
                it.holders,
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
