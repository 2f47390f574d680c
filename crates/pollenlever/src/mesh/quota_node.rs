use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, TargetState};

use super::MeshShared;
use crate::quota::{Quota, QuotaMember, QuotaNode, QuotaStatus};

impl QuotaNode for MeshShared {
    fn quota(&self) -> &Arc<Quota> {
        &self.quota
    }

    fn members(&self) -> Vec<QuotaMember> {
        let lost = self.lock().lost.clone();
        let to_quota_member = |it: &Member| QuotaMember {
            node: it.node,
            is_answering: lost.get(&it.node.addr) != Some(&it.node),
            is_leaving: it.state == TargetState::Leaving,
        };
        self.members.read(|it| it.table().live().map(to_quota_member).collect())
    }

    fn record_lost(self: Arc<Self>, node: NodeId) {
        self.member_lost(node);
    }

    fn may_create_shares(&self) -> bool {
        self.is_store_watcher()
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
