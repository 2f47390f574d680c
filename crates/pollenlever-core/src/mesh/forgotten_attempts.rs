use std::collections::HashMap;

use crate::id::{AttemptId, NodeId};

/// Number of senders after which the present generation becomes the earlier one.
const MAX_SENDERS: usize = 16_384;

/// What a gate still knows about attempts that it has forgotten: the highest sequence number of
/// each sender among them.
///
/// Senders are kept in two generations, so that the memory is bounded. Of a sender in neither of
/// them nothing is known once a generation has been dropped.
#[derive(Debug, Default)]
pub(super) struct ForgottenAttempts {
    present: HashMap<NodeId, u64>,
    earlier: HashMap<NodeId, u64>,
    has_dropped_senders: bool,
}

impl ForgottenAttempts {
    /// Records that an attempt is forgotten.
    pub(super) fn record(&mut self, attempt: AttemptId) {
        if self.present.len() >= MAX_SENDERS && !self.present.contains_key(&attempt.sender) {
            self.has_dropped_senders |= !self.earlier.is_empty();
            self.earlier = std::mem::take(&mut self.present);
        }
        let highest = self.highest(attempt.sender).unwrap_or(0).max(attempt.seq);
        self.present.insert(attempt.sender, highest);
    }

    /// Whether a later attempt of the same sender has been forgotten, or this one.
    pub(super) fn includes(&self, attempt: AttemptId) -> bool {
        self.highest(attempt.sender).is_some_and(|it| attempt.seq <= it)
    }

    /// Whether the attempt may have been received and forgotten.
    pub(super) fn may_include(&self, attempt: AttemptId) -> bool {
        match self.highest(attempt.sender) {
            Some(highest) => attempt.seq <= highest,
            None => self.has_dropped_senders,
        }
    }

    fn highest(&self, sender: NodeId) -> Option<u64> {
        let of = |generation: &HashMap<NodeId, u64>| generation.get(&sender).copied();
        of(&self.present).max(of(&self.earlier))
    }
}
