use super::node::Node;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::chain::TokenBucket;
use crate::config::{Importance, RequestKind};
use crate::id::{AttemptId, ChainId, ContentDigest};
use crate::policy::Call;

/// What the place of a call in its chain says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lineage {
    pub(super) chain: ChainId,
    pub(super) importance: Importance,
    pub(super) depth: u8,
    pub(super) deadline: Timestamp,
    /// Whether an equal call was made before.
    pub(super) is_resend: bool,
}

impl Node {
    /// Finds the chain of a call, or begins one.
    pub(super) fn lineage(
        &mut self,
        now: Timestamp,
        call: &Call,
        kind: &RequestKind,
        digest: ContentDigest,
    ) -> Result<Lineage, ErrorKind> {
        if let Some(parent) = call.parent {
            return self.lineage_inside(now, parent, kind, digest);
        }
        if self.leaving && (call.key.is_none() || self.has_lingered) {
            return Err(ErrorKind::Leaving);
        }
        let timeout = call.timeout.map_or(kind.deadline, |it| it.min(kind.deadline));
        let deadline = now + timeout;
        let resend_of = match call.chain {
            Some(chain) => Some(chain),
            None if call.key.is_some() => None,
            None => self.joined_chain(now, call, digest)?,
        };
        let expires = deadline + self.cfg.chain_window;
        let chain = resend_of.unwrap_or_else(|| self.ledger.open(kind.retry_budget, expires));
        let importance = kind.importance;
        Ok(Lineage { chain, importance, depth: 0, deadline, is_resend: resend_of.is_some() })
    }

    fn lineage_inside(
        &mut self,
        now: Timestamp,
        parent: AttemptId,
        kind: &RequestKind,
        digest: ContentDigest,
    ) -> Result<Lineage, ErrorKind> {
        let max_depth = self.cfg.max_depth;
        let parent = self.parent_mut(parent).ok_or(ErrorKind::ParentEnded)?;
        if parent.deadline <= now || !parent.is_running() {
            return Err(ErrorKind::ParentEnded);
        }
        if parent.head.depth >= max_depth {
            return Err(ErrorKind::DepthExceeded);
        }
        Ok(Lineage {
            chain: parent.head.chain,
            importance: parent.head.importance.max(kind.importance),
            depth: parent.head.depth + 1,
            deadline: parent.deadline.min(now + kind.deadline),
            is_resend: !parent.children.insert(digest),
        })
    }

    /// The chain of an equal call without any id that has lately failed.
    fn joined_chain(
        &mut self,
        now: Timestamp,
        call: &Call,
        digest: ContentDigest,
    ) -> Result<Option<ChainId>, ErrorKind> {
        let Some(chain) = self.failures.chain_of(now, digest) else { return Ok(None) };
        if self.take_resend(now, call) { Ok(Some(chain)) } else { Err(ErrorKind::CustomerLimit) }
    }

    fn take_resend(&mut self, now: Timestamp, call: &Call) -> bool {
        let (burst, rate) = (self.cfg.customer_burst, self.cfg.customer_rate);
        if self.resends.len() >= self.cfg.max_recent_failures {
            self.resends.retain(|_, bucket| !bucket.is_full(now));
        }
        let id = (call.customer.clone(), call.service.clone());
        if self.resends.len() >= self.cfg.max_recent_failures && !self.resends.contains_key(&id) {
            return false;
        }
        let bucket = self.resends.entry(id);
        bucket.or_insert_with(|| TokenBucket::new(now, burst, rate)).take(now)
    }
}
