use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{TargetState, highest_scores};
use pollenlever_core::mesh::WATCHERS_PER_REGION;

use super::MeshShared;
use super::mesh_shared::WATCHER_SEED;
use crate::quota::{Quota, QuotaMember, QuotaNode, QuotaStatus};

impl QuotaNode for MeshShared {
    fn quota(&self) -> &Arc<Quota> {
        &self.quota
    }

    fn members(&self) -> Vec<QuotaMember> {
        let lost = self.lock().lost.clone();
        let members = self.members_with_quotas().into_iter();
        let quota_members = members.map(|it| QuotaMember {
            node: it.node,
            is_answering: lost.get(&it.node.addr) != Some(&it.node),
            is_leaving: it.state == TargetState::Leaving,
        });
        quota_members.collect()
    }

    fn has_quotas(&self, addr: SocketAddr) -> bool {
        let member = self.members.read(|it| it.table().get(addr).map(|it| it.member.node));
        member.is_none_or(|it| self.sends_workspaces(it))
    }

    fn record_lost(self: Arc<Self>, node: NodeId) {
        self.member_lost(node);
    }

    fn may_create_shares(&self) -> bool {
        // A deputy reaches the store, which the watchers may not.
        if self.is_store_watcher() || self.watches_routes.load(Ordering::Relaxed) {
            return true;
        }
        let region = self.member().region;
        let members = self.members_with_quotas().into_iter();
        let in_region = members.filter(|it| it.region == region).map(|it| it.node);
        highest_scores(in_region, WATCHER_SEED, WATCHERS_PER_REGION).contains(&self.me)
    }

    fn shards_for_new_table(&self) -> u32 {
        self.lock().settings.quota_shards
    }

    fn record_store_call(&self, is_success: bool) {
        self.metrics.record_store_call(is_success);
    }
}

impl MeshShared {
    /// The state of quotas on this node.
    pub fn quota_status(&self) -> QuotaStatus {
        self.quota.status()
    }
}
