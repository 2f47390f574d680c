use super::node::Node;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::chain::TokenBucket;
use crate::config::{Importance, RequestKind};
use crate::id::{AttemptId, ChainId, ContentDigest};
use crate::policy::Call;

/// Properties that a call has from its position in a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChainPosition {
    pub(super) chain: ChainId,
    pub(super) importance: Importance,
    pub(super) depth: u8,
    pub(super) deadline: Timestamp,
    /// Whether an equal call was made before.
    pub(super) is_resend: bool,
}

impl Node {
    /// Finds the chain of a call, or opens a new one.
    pub(super) fn chain_position(
        &mut self,
        now: Timestamp,
        call: &Call,
        kind: &RequestKind,
        digest: ContentDigest,
    ) -> Result<ChainPosition, ErrorKind> {
        if let Some(parent) = call.parent {
            return self.nested_position(now, parent, kind, digest);
        }
        if self.is_leaving && (call.key.is_none() || self.has_leave_notice_ended) {
            return Err(ErrorKind::Leaving);
        }
        let timeout = call.timeout.map_or(kind.deadline, |it| it.min(kind.deadline));
        let deadline = now + timeout;
        let resend_of = match call.chain {
            Some(chain) => Some(chain),
            None if call.key.is_some() => None,
            None => self.chain_of_failed_call(now, call, digest)?,
        };
        let expires = deadline + self.cfg.chain_window;
        let chain = resend_of
            .unwrap_or_else(|| self.chain_retry_budgets.start_chain(kind.retry_budget, expires));
        let importance = kind.importance;
        Ok(ChainPosition { chain, importance, depth: 0, deadline, is_resend: resend_of.is_some() })
    }

    fn nested_position(
        &mut self,
        now: Timestamp,
        parent: AttemptId,
        kind: &RequestKind,
        digest: ContentDigest,
    ) -> Result<ChainPosition, ErrorKind> {
        let max_depth = self.cfg.max_depth;
        let parent = self.parent_mut(parent).ok_or(ErrorKind::ParentEnded)?;
        if parent.deadline <= now || !parent.is_running() {
            return Err(ErrorKind::ParentEnded);
        }
        if parent.head.depth >= max_depth {
            return Err(ErrorKind::DepthExceeded);
        }
        Ok(ChainPosition {
            chain: parent.head.chain,
            importance: parent.head.importance.max(kind.importance),
            depth: parent.head.depth + 1,
            deadline: parent.deadline.min(now + kind.deadline),
            is_resend: !parent.children.insert(digest),
        })
    }

    /// The chain of an equal call without key or chain that failed recently, if there is one.
    /// Fails if the workspace has used up its resends.
    fn chain_of_failed_call(
        &mut self,
        now: Timestamp,
        call: &Call,
        digest: ContentDigest,
    ) -> Result<Option<ChainId>, ErrorKind> {
        let Some(chain) = self.recent_failures.chain_of_failed_call(now, digest) else {
            return Ok(None);
        };
        if self.take_workspace_resend(now, call) {
            Ok(Some(chain))
        } else {
            Err(ErrorKind::WorkspaceLimit)
        }
    }

    fn take_workspace_resend(&mut self, now: Timestamp, call: &Call) -> bool {
        let (burst, rate) = (self.cfg.workspace_resend_burst, self.cfg.workspace_resends_per_s);
        if self.resend_buckets.len() >= self.cfg.max_recent_failures {
            self.resend_buckets.retain(|_, bucket| !bucket.is_full(now));
        }
        let id = (call.workspace.clone(), call.service.clone());
        if self.resend_buckets.len() >= self.cfg.max_recent_failures
            && !self.resend_buckets.contains_key(&id)
        {
            return false;
        }
        let bucket = self.resend_buckets.entry(id);
        bucket.or_insert_with(|| TokenBucket::new(now, burst, rate)).try_take(now)
    }
}
