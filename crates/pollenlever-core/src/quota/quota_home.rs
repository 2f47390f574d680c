use super::{
    HomeBucket, HomeShard, QuotaSettings, ShareDelegation, ShareDelegationReply, TokenGrant,
    TokenRequest,
};
use crate::Timestamp;
use crate::id::{NodeId, WorkspaceName};
use crate::workspace::QuotaLimit;

/// The shards whose home this node is: pools delegated units and grants tokens from them.
#[derive(Debug)]
pub struct QuotaHome {
    me: NodeId,
    settings: QuotaSettings,
}

impl QuotaHome {
    /// Creates a home without units.
    pub fn new(me: NodeId, settings: QuotaSettings) -> QuotaHome {
        QuotaHome { me, settings }
    }

    /// Sets the limits of all workspaces with a quota; others are removed.
    pub fn set_limits(&mut self, now: Timestamp, limits: &[(WorkspaceName, QuotaLimit)]) {
        let _ = (now, limits);
    }

    /// Sets the number of shards of the share table. Without it the first delegation sets it.
    pub fn set_shards(&mut self, now: Timestamp, shards: u32) {
        let _ = (now, shards);
    }

    /// Takes a delegation and replies with new tickets.
    pub fn on_delegation(
        &mut self,
        now: Timestamp,
        delegation: &ShareDelegation,
    ) -> ShareDelegationReply {
        let _ = (now, self.me, self.settings);
        ShareDelegationReply { sequence: delegation.sequence, tickets: Vec::new() }
    }

    /// Answers token requests, one grant each in their order.
    pub fn on_requests(&mut self, now: Timestamp, requests: &[TokenRequest]) -> Vec<TokenGrant> {
        let _ = (now, requests);
        Vec::new()
    }

    /// Shards for which this node has units.
    pub fn shards(&mut self, now: Timestamp) -> Vec<HomeShard> {
        let _ = now;
        Vec::new()
    }

    /// Buckets of the shards for which this node has units.
    pub fn buckets(&mut self, now: Timestamp) -> Vec<HomeBucket> {
        let _ = now;
        Vec::new()
    }
}
