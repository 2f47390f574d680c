use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, TargetState};

use super::MeshShared;
use crate::quota::{Quota, QuotaHost};

impl QuotaHost for MeshShared {
    fn quota(&self) -> &Arc<Quota> {
        &self.quota
    }

    fn staying_members(&self) -> Vec<NodeId> {
        let lost = self.lock().lost.clone();
        let stays = |it: &&Member| {
            let is_leaving = it.state == TargetState::Leaving;
            !is_leaving && lost.get(&it.node.addr) != Some(&it.node)
        };
        self.members.read(|it| it.table().live().filter(stays).map(|it| it.node).collect())
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
